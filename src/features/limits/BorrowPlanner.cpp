#include "limits/BorrowPlanner.h"

#include <algorithm>
#include <utility>

namespace rr {

namespace {

/// Holders with fewer tokens are not worth a message.
constexpr MicroRequests MinTokensPerLender = OneRequest / 20;

} // namespace

BorrowPlanner::BorrowPlanner(ShareHolder Self, std::string Region)
    : Self(std::move(Self)), Region(std::move(Region)) {}

void BorrowPlanner::update(const DemandReport &Report, Clock::time_point Now) {
  if (Report.Holder == this->Self)
    return;
  this->removeHolder(Report.Holder);
  for (const WorkspaceDemand &Item : Report.Workspaces) {
    const MicroRequests Spare =
        std::max<MicroRequests>(Item.Held.Rate - Item.Demand, 0);
    this->Workspaces[Item.Workspace][Report.Holder] = {
        Item.Held, Spare, Report.Epoch, Report.Region == this->Region,
        Now,       Now};
  }
}

void BorrowPlanner::removeHolder(const ShareHolder &Holder) {
  for (auto &[Name, Holders] : this->Workspaces)
    Holders.erase(Holder);
}

MicroRequests BorrowPlanner::estimatedTokens(const HolderState &Entry,
                                             bool SinglePrimary,
                                             Clock::time_point Now) {
  const double Age =
      std::chrono::duration<double>(Now - Entry.EstimatedAt).count();
  if (SinglePrimary)
    return Entry.Held.Tokens +
           toMicroRequests(toRequests(Entry.Held.Rate) * Age);
  const double Accrued = double(Entry.SpareRate) * std::max(Age, 0.0);
  const MicroRequests FreeCapacity = Entry.Held.Burst - Entry.Held.Tokens;
  return Entry.Held.Tokens +
         MicroRequests(std::min(Accrued, double(FreeCapacity)));
}

std::vector<BorrowRequest>
BorrowPlanner::plan(const std::string &Workspace, std::uint64_t Epoch,
                    MicroRequests Wanted, MicroRequests MinTokens,
                    MicroRequests Gathered, bool SinglePrimary,
                    Clock::time_point Now) {
  struct Candidate {
    const ShareHolder *Holder;
    HolderState *Entry;
    MicroRequests Tokens;
  };
  std::vector<Candidate> Candidates;
  MicroRequests TotalTokens = 0;
  for (auto &[Holder, Entry] : this->Workspaces[Workspace]) {
    const MicroRequests Tokens = estimatedTokens(Entry, SinglePrimary, Now);
    if (Entry.Epoch != Epoch || Tokens < MinTokensPerLender ||
        Now - Entry.ReportedAt >= FreshnessLimit)
      continue;
    Candidates.push_back({&Holder, &Entry, Tokens});
    TotalTokens += Tokens;
  }
  if (TotalTokens < MinTokens)
    return {};
  // A holder of the same region that covers the whole need is preferred to a
  // remote one with more tokens; otherwise the one with the most tokens is
  // preferred.
  const auto Score = [&](const Candidate &Item) {
    return std::pair(Item.Entry->SameRegion && Item.Tokens >= Wanted,
                     Item.Tokens);
  };
  std::sort(Candidates.begin(), Candidates.end(),
            [&](const Candidate &A, const Candidate &B) {
              if (Score(A) != Score(B))
                return Score(A) > Score(B);
              return *A.Holder < *B.Holder;
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
    Item.Entry->EstimatedAt = Now;
  }
  return Result;
}

} // namespace rr
