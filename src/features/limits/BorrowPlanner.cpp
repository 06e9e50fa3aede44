#include "limits/BorrowPlanner.h"

#include <algorithm>
#include <utility>

namespace rr {

namespace {

/// Tokens below this are not worth a message.
constexpr MicroRequests LeastTokens = OneRequest / 20;

} // namespace

BorrowPlanner::BorrowPlanner(ShareHolder Self, std::string Region)
    : Self(std::move(Self)), Region(std::move(Region)) {}

void BorrowPlanner::update(const DemandReport &Report, Clock::time_point Now) {
  if (Report.Holder == this->Self)
    return;
  this->forget(Report.Holder);
  for (const WorkspaceDemand &Item : Report.Workspaces) {
    const MicroRequests Spare =
        std::max<MicroRequests>(Item.Held.Rate - Item.Demand, 0);
    this->Workspaces[Item.Workspace][Report.Holder] = {
        Item.Held, Spare, Report.Epoch, Report.Region == this->Region, Now};
  }
}

void BorrowPlanner::forget(const ShareHolder &Holder) {
  for (auto &[Name, Holders] : this->Workspaces)
    Holders.erase(Holder);
}

MicroRequests BorrowPlanner::expectedTokens(const Known &Entry,
                                            Clock::time_point Now) {
  const double Age = std::chrono::duration<double>(Now - Entry.At).count();
  const double Grown = double(Entry.SpareRate) * std::max(Age, 0.0);
  const MicroRequests Room = Entry.Held.Burst - Entry.Held.Tokens;
  return Entry.Held.Tokens + MicroRequests(std::min(Grown, double(Room)));
}

std::vector<BorrowRequest>
BorrowPlanner::plan(const std::string &Workspace, std::uint64_t Epoch,
                    MicroRequests Wanted, MicroRequests Needed,
                    MicroRequests Gathered, Clock::time_point Now) {
  struct Candidate {
    const ShareHolder *Holder;
    Known *Entry;
    MicroRequests Tokens;
  };
  std::vector<Candidate> Candidates;
  MicroRequests Sum = 0;
  for (auto &[Holder, Entry] : this->Workspaces[Workspace]) {
    const MicroRequests Tokens = expectedTokens(Entry, Now);
    if (Entry.Epoch != Epoch || Tokens < LeastTokens)
      continue;
    Candidates.push_back({&Holder, &Entry, Tokens});
    Sum += Tokens;
  }
  if (Sum < Needed)
    return {};
  // A holder of the same region that covers the whole need beats a farther
  // one with more tokens; otherwise the one with most tokens comes first.
  const auto Score = [&](const Candidate &Item) {
    return std::pair(Item.Entry->Near && Item.Tokens >= Wanted, Item.Tokens);
  };
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [&](const Candidate &A, const Candidate &B) {
                     return Score(A) > Score(B);
                   });
  std::vector<BorrowRequest> Result;
  for (const Candidate &Item : Candidates) {
    if (Wanted <= 0 || Result.size() == MaxLenders)
      break;
    const MicroRequests Asked = std::min(Wanted, Item.Tokens);
    Wanted -= Asked;
    Result.push_back(
        {this->Self, *Item.Holder, Epoch, Workspace, Asked, Gathered});
    Item.Entry->Held.Tokens = Item.Tokens - Asked;
    Item.Entry->Held.Burst -= Asked;
    Item.Entry->At = Now;
  }
  return Result;
}

} // namespace rr
