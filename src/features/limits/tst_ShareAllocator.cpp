#include "limits/LimitsJson.h"
#include "limits/ShareAllocator.h"
#include "limits/ShareLedger.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start{};

ShareAmount amountOf(int Requests) {
  return {Requests * OneRequest, Requests * OneRequest, 0};
}

AllocationMember memberOf(const std::string &Name, int Held, int Demand,
                          std::uint64_t Epoch = 1) {
  const ShareHolder Holder{Name, 1};
  return {Holder, DemandReport{Holder,
                               "z",
                               "r",
                               Epoch,
                               {{"w", amountOf(Held), Demand * OneRequest}}}};
}

const std::map<std::string, ShareAmount> Allowances = {{"w", amountOf(100)}};

/// Simulates how the store accepts an epoch: in a transaction that is
/// conditional on the current epoch and on the lease's fencing token.
struct EpochRow {
  std::uint64_t Fence = 1;
  ShareAllocation Current;

  bool commit(const ShareAllocation &Next) {
    if (Next.Epoch != this->Current.Epoch + 1 || Next.Fence != this->Fence)
      return false;
    this->Current = Next;
    return true;
  }
};

} // namespace

// Shares of an ended instance must not stay lost.
TEST_CASE("A new epoch gives the shares of an ended instance to the others") {
  const auto First = makeAllocation(
      nullptr, 1, Allowances,
      {memberOf("a", 0, 0), memberOf("b", 0, 0), memberOf("c", 0, 0)});
  const std::vector<AllocationMember> Left = {memberOf("a", 30, 50),
                                              memberOf("b", 30, 0)};
  ShareAllocator Allocator;
  CHECK(Allocator.dueReason(Allowances, Left, Start) ==
        AllocationReason::NoAllocation);
  Allocator.observe(First, Start);
  CHECK_FALSE(Allocator.dueReason(Allowances, Left, Start + 4s - 1ns));
  CHECK(Allocator.dueReason(Allowances, Left, Start + 4s) ==
        AllocationReason::HolderGone);
  const auto Second = makeAllocation(&First, 1, Allowances, Left);
  REQUIRE(checkAllocation(Second));
  CHECK(Second.Epoch == 2);
  // The 30 held before, plus 95% of the 40 that are unassigned.
  CHECK(toRequests(shareOf(Second, "w", {"a", 1}).Rate) == Approx(68));
  CHECK(toRequests(shareOf(Second, "w", {"b", 1}).Rate) == Approx(32));
  CHECK(shareOf(Second, "w", {"c", 1}).isZero());
}

// Shares must not exceed a lowered rate, and a reduction must not increase any
// share.
TEST_CASE("A lowered allowance reduces shares in proportion") {
  const auto Row =
      makeAllocation(nullptr, 1, {{"w", amountOf(50)}},
                     {memberOf("a", 75, 0), memberOf("b", 25, 99)});
  REQUIRE(checkAllocation(Row));
  CHECK(toRequests(shareOf(Row, "w", {"a", 1}).Rate) == Approx(37.5));
  CHECK(toRequests(shareOf(Row, "w", {"b", 1}).Rate) == Approx(12.5));
}

// A member that reaches the store but not the relays must not lose its share
// with each epoch.
TEST_CASE("A member without a report keeps its allocation") {
  const auto First = makeAllocation(
      nullptr, 1, Allowances, {memberOf("a", 60, 0), memberOf("b", 40, 0)});
  const auto Second = makeAllocation(
      &First, 1, Allowances, {memberOf("a", 0, 0), {{"b", 1}, std::nullopt}});
  CHECK(toRequests(shareOf(Second, "w", {"b", 1}).Rate) == Approx(40 + 30));
}

// Epochs must become due for each reason, and only then.
TEST_CASE("Each reason makes an epoch due") {
  const auto Row = makeAllocation(nullptr, 1, Allowances,
                                  {memberOf("a", 0, 0), memberOf("b", 0, 0)});
  ShareAllocator Allocator;
  Allocator.observe(Row, Start);
  Allocator.confirmBarrier(1, Start);
  const auto Due = [&](const std::map<std::string, ShareAmount> &Wanted,
                       const std::vector<AllocationMember> &Members,
                       Clock::duration After) {
    return Allocator.dueReason(Wanted, Members, Start + After);
  };
  const std::vector<AllocationMember> Good = {memberOf("a", 50, 0),
                                              memberOf("b", 49, 0)};
  const std::vector<AllocationMember> Short = {memberOf("a", 50, 0),
                                               memberOf("b", 40, 0)};
  CHECK_FALSE(Due(Allowances, Good, 0s));
  CHECK(Due({{"w", amountOf(99)}}, Good, 0s) ==
        AllocationReason::WorkspaceChanged);
  CHECK(Due(Allowances, {Good[0], Good[1], memberOf("c", 0, 0)}, 0s) ==
        AllocationReason::HolderAdded);
  AllocationMember Silent = Good[1];
  Silent.Silent = true;
  CHECK_FALSE(Due(Allowances, {Good[0], Silent}, 0s));
  CHECK(Due(Allowances, {Good[0], Silent}, 1s) == AllocationReason::HolderGone);
  CHECK(Due(Allowances, {Good[0]}, 0s) == AllocationReason::HolderGone);
  CHECK_FALSE(Due(Allowances, Short, 1s));
  CHECK_FALSE(Due(Allowances, Good, 3s));
  CHECK_FALSE(Due(Allowances, Short, 4s));
  CHECK_FALSE(Due(Allowances, Short, 8s));
  CHECK(Due(Allowances, Short, 9s) == AllocationReason::SharesLost);
}

// A starting or returning instance must not have to wait for a new epoch, and a
// silent instance must not cause epoch after epoch.
TEST_CASE("Silent members stay listed, new ones are listed at once") {
  const auto First = makeAllocation(nullptr, 1, Allowances,
                                    {memberOf("a", 0, 0), memberOf("b", 0, 0)});
  std::vector<AllocationMember> Members = {memberOf("a", 50, 0, 2),
                                           memberOf("b", 50, 0, 2)};
  Members[1].Silent = true;
  const auto Second = makeAllocation(&First, 1, Allowances, Members);
  CHECK(shareOf(Second, "w", {"b", 1}).isZero());
  CHECK(shareOf(Second, "w", {"a", 1}) == amountOf(100));
  ShareAllocator Allocator;
  Allocator.observe(Second, Start);
  Members[0] = memberOf("a", 100, 0, 2);
  CHECK_FALSE(Allocator.dueReason(Allowances, Members, Start + 60s));
  Members.push_back(memberOf("c", 0, 0, 2));
  CHECK(Allocator.dueReason(Allowances, Members, Start) ==
        AllocationReason::HolderAdded);
  const auto Revised = addHolders(Second, 1, Members);
  Allocator.observe(Revised, Start);
  CHECK_FALSE(Allocator.dueReason(Allowances, Members, Start + 62s));
  ShareLedger Ledger({"c", 1}, Start);
  REQUIRE(Ledger.adopt(Second, Start));
  CHECK_FALSE(Ledger.isListed());
  REQUIRE(Ledger.adopt(Revised, Start));
  CHECK(Ledger.isListed());
}

// The barrier must wait for silent instances.
TEST_CASE("The barrier needs every holder, or proof that it ended") {
  const auto First = makeAllocation(nullptr, 1, Allowances,
                                    {memberOf("a", 0, 0), memberOf("b", 0, 0)});
  const ShareHolder A{"a", 1};
  const ShareHolder B{"b", 1};
  CHECK_FALSE(decreasesAcknowledged(First, 2, {{A, 2}}, {}));
  CHECK_FALSE(decreasesAcknowledged(First, 2, {{A, 2}, {B, 1}}, {}));
  CHECK(decreasesAcknowledged(First, 2, {{A, 2}, {B, 2}}, {}));
  CHECK(decreasesAcknowledged(First, 2, {{A, 3}}, {B}));
}

// Two lease holders must not both divide the same shares: the one that was
// paused writes late, with an old fencing token or over a newer epoch.
TEST_CASE("Of two allocators one succeeds, and all instances adopt its epoch") {
  EpochRow Store;
  const std::vector<AllocationMember> Members = {memberOf("a", 0, 9),
                                                 memberOf("b", 0, 0)};
  const auto Mine = makeAllocation(nullptr, 1, Allowances, Members);
  const auto Other =
      makeAllocation(nullptr, 1, Allowances, {memberOf("b", 0, 9)});
  REQUIRE(Store.commit(Mine));
  CHECK_FALSE(Store.commit(Other));
  Store.Fence = 2;
  CHECK_FALSE(Store.commit(makeAllocation(&Mine, 1, Allowances, Members)));
  REQUIRE(Store.commit(makeAllocation(&Mine, 2, Allowances, Members)));
  ShareLedger Ledger({"a", 1}, Start);
  REQUIRE(Ledger.adopt(Store.Current, Start));
  CHECK(Ledger.adopt(Other, Start).error() == Errc::Stale);
}

// Rows, moves and reports must be unchanged after encoding and decoding, also
// as CBOR.
TEST_CASE("Messages are unchanged after encoding and decoding") {
  const auto Row = makeAllocation(nullptr, 3, Allowances,
                                  {memberOf("a", 0, 9), memberOf("b", 0, 0)});
  const auto Carry = [](const nlohmann::json &Message) {
    return nlohmann::json::from_cbor(nlohmann::json::to_cbor(Message));
  };
  CHECK(parseShareAllocation(Carry(formatShareAllocation(Row))) == Row);
  const auto Report = *memberOf("a", 7, 9).Report;
  CHECK(parseDemandReport(Carry(formatDemandReport(Report))) == Report);
  const ShareHolder A{"a", 1};
  const ShareHolder B{"b", 2};
  for (const ShareMove &Move :
       {ShareMove(ShareRelease{A, B, 4, "w", amountOf(3), amountOf(2)}),
        ShareMove(ShareGrant{A, B, 5, 4, "w", {1, 2, 2}}),
        ShareMove(BorrowRequest{A, B, 4, "w", 9, 8})})
    CHECK(parseShareMove(Carry(formatShareMove(Move))) == Move);
}

// Malformed messages must neither throw nor create shares: a valid message must
// be refused after a change of any one member.
TEST_CASE("Malformed messages are refused without exceptions") {
  using nlohmann::json;
  const json Grant = formatShareMove(
      ShareGrant{{"a", 1}, {"b", 2}, 5, 4, "w", {10, 20, 20}, true});
  const auto IsBad = [](const json &Message) {
    const auto Result = parseShareMove(Message);
    return !Result && Result.error() == Errc::Malformed;
  };
  REQUIRE_FALSE(IsBad(Grant));
  const json Wrong[] = {nullptr,
                        -1,
                        1.5,
                        "",
                        true,
                        json::array(),
                        json::object(),
                        std::string(300, 'x')};
  const json Flat = Grant.flatten();
  for (const auto &Item : Flat.items())
    for (const json &Value : Wrong) {
      json Changed = Grant;
      Changed[json::json_pointer(Item.key())] = Value;
      CHECK((Changed == Grant || IsBad(Changed)));
    }
  for (const auto &[Pointer, Value] :
       {std::pair("/amount/tokens", json(21U)),
        {"/extra", json(1U)},
        {"/amount/rate", json(std::uint64_t(MaxAmount) + 1)},
        {"/amount/burst", json(18446744073709551615ULL)},
        {"/kind", json("borrow")}}) {
    json Changed = Grant;
    Changed[json::json_pointer(Pointer)] = Value;
    CHECK(IsBad(Changed));
  }
  for (const json &Value : Wrong) {
    CHECK(IsBad(Value));
    CHECK_FALSE(parseDemandReport(Value));
    CHECK_FALSE(parseShareAllocation(Value));
  }
  json Row = formatShareAllocation(
      makeAllocation(nullptr, 1, Allowances, {memberOf("a", 0, 0)}));
  REQUIRE(parseShareAllocation(Row));
  Row["workspaces"][0]["shares"][0]["holder"] = 1;
  CHECK_FALSE(parseShareAllocation(Row));
  Row["workspaces"][0]["shares"][0]["holder"] = 0;
  Row["workspaces"][0]["shares"][0]["burst"] = 100 * OneRequest + 1;
  CHECK_FALSE(parseShareAllocation(Row));
}
