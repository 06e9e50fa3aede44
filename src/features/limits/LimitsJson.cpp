#include "limits/LimitsJson.h"

#include "limits/FieldReader.h"

#include <utility>

namespace rr {

namespace {

using nlohmann::json;

json number(MicroRequests Amount) { return std::uint64_t(Amount); }

json toJson(const ShareHolder &Holder) {
  return {{"instance", Holder.Instance}, {"incarnation", Holder.Incarnation}};
}

json toJson(const ShareAmount &Amount) {
  return {{"rate", number(Amount.Rate)},
          {"burst", number(Amount.Burst)},
          {"tokens", number(Amount.Tokens)}};
}

json toJson(const ShareRelease &Move) {
  return {{"kind", "release"},
          {"giver", toJson(Move.Giver)},
          {"receiver", toJson(Move.Receiver)},
          {"epoch", Move.Epoch},
          {"workspace", Move.Workspace},
          {"amount", toJson(Move.Amount)},
          {"keep", toJson(Move.Keep)}};
}

json toJson(const ShareGrant &Move) {
  return {{"kind", "grant"},
          {"from", toJson(Move.From)},
          {"to", toJson(Move.To)},
          {"sequence", Move.Sequence},
          {"epoch", Move.Epoch},
          {"workspace", Move.Workspace},
          {"amount", toJson(Move.Amount)}};
}

json toJson(const BorrowRequest &Move) {
  return {{"kind", "borrow"},
          {"borrower", toJson(Move.Borrower)},
          {"lender", toJson(Move.Lender)},
          {"epoch", Move.Epoch},
          {"workspace", Move.Workspace},
          {"wanted", number(Move.Wanted)},
          {"gathered", number(Move.Gathered)}};
}

ShareRelease readRelease(FieldReader &Reader) {
  return {Reader.holder("giver"),       Reader.holder("receiver"),
          Reader.count("epoch"),        Reader.text("workspace"),
          Reader.shareAmount("amount"), Reader.shareAmount("keep")};
}

ShareGrant readGrant(FieldReader &Reader) {
  return {Reader.holder("from"),    Reader.holder("to"),
          Reader.count("sequence"), Reader.count("epoch"),
          Reader.text("workspace"), Reader.shareAmount("amount")};
}

BorrowRequest readBorrow(FieldReader &Reader) {
  return {Reader.holder("borrower"), Reader.holder("lender"),
          Reader.count("epoch"),     Reader.text("workspace"),
          Reader.amount("wanted"),   Reader.amount("gathered")};
}

WorkspaceDemand readDemand(const json &Item, FieldReader &Outer) {
  FieldReader Reader(Item);
  WorkspaceDemand Result = {Reader.text("workspace"),
                            Reader.shareAmount("held"),
                            Reader.amount("demand")};
  if (!Reader.isComplete())
    Outer.fail();
  return Result;
}

json toJson(const WorkspaceAllocation &Workspace, const std::string &Name,
            const std::map<ShareHolder, std::size_t> &Index) {
  json Shares = json::array();
  for (const auto &[Holder, Share] : Workspace.Shares)
    Shares.push_back({{"holder", Index.at(Holder)},
                      {"rate", number(Share.Rate)},
                      {"burst", number(Share.Burst)}});
  return {{"name", Name},
          {"rate", number(Workspace.Total.Rate)},
          {"burst", number(Workspace.Total.Burst)},
          {"shares", std::move(Shares)}};
}

void readShare(const json &Item, const std::vector<ShareHolder> &Holders,
               WorkspaceAllocation &Result, FieldReader &Outer) {
  FieldReader Reader(Item);
  const std::uint64_t Index = Reader.count("holder");
  const ShareAmount Share = {Reader.amount("rate"), Reader.amount("burst"), 0};
  if (!Reader.isComplete() || Index >= Holders.size() ||
      !Result.Shares.emplace(Holders[Index], Share).second)
    Outer.fail();
}

void readWorkspace(const json &Item, const std::vector<ShareHolder> &Holders,
                   ShareAllocation &Result, FieldReader &Outer) {
  FieldReader Reader(Item);
  WorkspaceAllocation Workspace;
  const std::string Name = Reader.text("name");
  Workspace.Total = {Reader.amount("rate"), Reader.amount("burst"), 0};
  for (const json &Share : Reader.list("shares"))
    readShare(Share, Holders, Workspace, Reader);
  if (!Reader.isComplete() ||
      !Result.Workspaces.emplace(Name, std::move(Workspace)).second)
    Outer.fail();
}

} // namespace

json formatShareMove(const ShareMove &Move) {
  return std::visit([](const auto &Item) { return toJson(Item); }, Move);
}

Outcome<ShareMove> parseShareMove(const json &Message) {
  FieldReader Reader(Message);
  const std::string Kind = Reader.text("kind");
  ShareMove Result;
  if (Kind == "release")
    Result = readRelease(Reader);
  else if (Kind == "grant")
    Result = readGrant(Reader);
  else if (Kind == "borrow")
    Result = readBorrow(Reader);
  else
    return failure(Errc::Malformed);
  if (!Reader.isComplete())
    return failure(Errc::Malformed);
  return Result;
}

json formatDemandReport(const DemandReport &Report) {
  json Workspaces = json::array();
  for (const WorkspaceDemand &Item : Report.Workspaces)
    Workspaces.push_back({{"workspace", Item.Workspace},
                          {"held", toJson(Item.Held)},
                          {"demand", number(Item.Demand)}});
  return {{"holder", toJson(Report.Holder)},
          {"zone", Report.Zone},
          {"region", Report.Region},
          {"epoch", Report.Epoch},
          {"workspaces", std::move(Workspaces)}};
}

Outcome<DemandReport> parseDemandReport(const json &Message) {
  FieldReader Reader(Message);
  DemandReport Result;
  Result.Holder = Reader.holder("holder");
  Result.Zone = Reader.text("zone");
  Result.Region = Reader.text("region");
  Result.Epoch = Reader.count("epoch");
  std::set<std::string> Names;
  for (const json &Item : Reader.list("workspaces")) {
    Result.Workspaces.push_back(readDemand(Item, Reader));
    if (!Names.insert(Result.Workspaces.back().Workspace).second)
      Reader.fail();
  }
  if (!Reader.isComplete())
    return failure(Errc::Malformed);
  return Result;
}

json formatShareAllocation(const ShareAllocation &Allocation) {
  std::map<ShareHolder, std::size_t> Index;
  json Holders = json::array();
  for (const ShareHolder &Holder : Allocation.Holders) {
    Index.emplace(Holder, Index.size());
    Holders.push_back(toJson(Holder));
  }
  json Workspaces = json::array();
  for (const auto &[Name, Workspace] : Allocation.Workspaces)
    Workspaces.push_back(toJson(Workspace, Name, Index));
  return {{"epoch", Allocation.Epoch},
          {"fence", Allocation.Fence},
          {"holders", std::move(Holders)},
          {"workspaces", std::move(Workspaces)}};
}

Outcome<ShareAllocation> parseShareAllocation(const json &Row) {
  FieldReader Reader(Row);
  ShareAllocation Result;
  Result.Epoch = Reader.count("epoch");
  Result.Fence = Reader.count("fence");
  std::vector<ShareHolder> Holders;
  for (const json &Item : Reader.list("holders")) {
    FieldReader Inner(Item);
    Holders.push_back({Inner.text("instance"), Inner.count("incarnation")});
    if (!Inner.isComplete() || !Result.Holders.insert(Holders.back()).second)
      Reader.fail();
  }
  for (const json &Item : Reader.list("workspaces"))
    readWorkspace(Item, Holders, Result, Reader);
  if (!Reader.isComplete() || !checkAllocation(Result))
    return failure(Errc::Malformed);
  return Result;
}

} // namespace rr
