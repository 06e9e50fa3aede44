#include "limits/ShareAdmission.h"

#include <algorithm>

namespace rr {

AdmissionActions ShareAdmission::submit(const std::string &Workspace,
                                        std::uint64_t Id,
                                        Clock::time_point Now) {
  AdmissionActions Actions;
  this->Meter.recordArrival(Workspace, Now);
  Queue &Entry = this->Queues[Workspace];
  // Requests that already wait are served first.
  if (Entry.Requests.size() >= MaxWaitingRequests) {
    Actions.Refused.emplace_back(Id, make_error_code(Errc::LimitReached));
    return Actions;
  }
  Entry.Requests.push_back({Id, Now + MaxWait});
  this->processQueue(Workspace, Entry, Now, Actions);
  return Actions;
}

AdmissionActions ShareAdmission::receive(const ShareGrant &Grant,
                                         Clock::time_point Now) {
  AdmissionActions Actions;
  const GrantResult Result = this->Ledger.receive(Grant, Now);
  if (Result != GrantResult::Added)
    return Actions;
  Queue &Entry = this->Queues[Grant.Workspace];
  if (Grant.Borrowed) {
    if (Entry.PendingBorrows > 0)
      --Entry.PendingBorrows;
    // Loans end with their epoch: a new epoch redistributes the capacity.
    if (Entry.LoanEpoch != Grant.Epoch)
      Entry.Loans.clear();
    Entry.LoanEpoch = Grant.Epoch;
    if (this->Ledger.hasConcentratedBurst(Grant.Workspace))
      Entry.Loans[Grant.From] += Grant.Amount.Burst;
  }
  this->processQueue(Grant.Workspace, Entry, Now, Actions);
  return Actions;
}

void ShareAdmission::returnLoans(const std::string &Workspace, Queue &Entry,
                                 Clock::time_point Now,
                                 AdmissionActions &Actions) {
  if (Entry.LoanEpoch == this->Ledger.epoch())
    for (const auto &[Lender, Burst] : Entry.Loans)
      if (auto Grant =
              this->Ledger.returnBorrowed(Workspace, Lender, Burst, Now))
        Actions.GrantsToReturn.push_back(std::move(*Grant));
  Entry.Loans.clear();
}

AdmissionActions ShareAdmission::wake(Clock::time_point Now) {
  AdmissionActions Actions;
  for (auto &[Name, Entry] : this->Queues)
    this->processQueue(Name, Entry, Now, Actions);
  return Actions;
}

void ShareAdmission::cancel(const std::string &Workspace, std::uint64_t Id) {
  const auto Found = this->Queues.find(Workspace);
  if (Found != this->Queues.end())
    std::erase_if(Found->second.Requests,
                  [Id](const WaitingRequest &Item) { return Item.Id == Id; });
}

std::optional<Clock::time_point>
ShareAdmission::nextWake(Clock::time_point Now) {
  std::optional<Clock::time_point> Result;
  const auto Include = [&Result](Clock::time_point Time) {
    Result = Result ? std::min(*Result, Time) : Time;
  };
  for (const auto &[Name, Entry] : this->Queues) {
    if (Entry.Requests.empty())
      continue;
    Include(Entry.Requests.front().Deadline);
    if (Entry.PendingBorrows > 0)
      Include(Entry.BorrowDeadline);
    if (const auto Wait = this->Ledger.timeUntilToken(Name, Now))
      if (*Wait < MaxWait)
        Include(Now + *Wait);
  }
  return Result;
}

bool ShareAdmission::isWaitingForTokens(const std::string &Workspace) const {
  const auto Found = this->Queues.find(Workspace);
  return Found != this->Queues.end() && !Found->second.Requests.empty();
}

void ShareAdmission::processQueue(const std::string &Workspace, Queue &Entry,
                                  Clock::time_point Now,
                                  AdmissionActions &Actions) {
  auto &Requests = Entry.Requests;
  while (!Requests.empty()) {
    const Outcome<void> Admitted = this->Ledger.tryAdmit(Workspace, Now);
    if (Admitted) {
      Actions.Admitted.push_back(Requests.front().Id);
    } else {
      // Without a token the request waits; any other error is final.
      if (Admitted.error() == Errc::LimitReached &&
          Now < Requests.front().Deadline)
        break;
      Actions.Refused.emplace_back(Requests.front().Id, Admitted.error());
    }
    Requests.pop_front();
  }
  if (!Requests.empty() &&
      (Entry.PendingBorrows == 0 || Now >= Entry.BorrowDeadline))
    this->borrow(Workspace, Entry, Now, Actions);
  if (Requests.empty())
    this->returnLoans(Workspace, Entry, Now, Actions);
}

void ShareAdmission::borrow(const std::string &Workspace, Queue &Entry,
                            Clock::time_point Now, AdmissionActions &Actions) {
  const MicroRequests HeldTokens = this->Ledger.held(Workspace, Now).Tokens;
  // If the burst is concentrated, borrowed capacity is returned after use, so
  // borrowing more tokens than needed now would only move them back and forth.
  const MicroRequests HorizonTokens =
      this->Ledger.hasConcentratedBurst(Workspace)
          ? 0
          : this->Meter.demand(Workspace, Now) /
                (std::chrono::seconds(1) / BorrowHorizon);
  const MicroRequests WaitingTokens =
      MicroRequests(Entry.Requests.size()) * OneRequest;
  const auto Requests =
      this->Planner.plan(Workspace, this->Ledger.epoch(),
                         std::max(HorizonTokens, WaitingTokens) - HeldTokens,
                         OneRequest - HeldTokens, HeldTokens,
                         this->Ledger.numPrimaryHolders(Workspace) == 1, Now);
  Entry.PendingBorrows = Requests.size();
  Entry.BorrowDeadline = Now + BorrowTimeout;
  Actions.BorrowRequests.insert(Actions.BorrowRequests.end(), Requests.begin(),
                                Requests.end());
  if (Requests.empty())
    this->refuseUnservable(Workspace, Entry, Now, Actions);
}

void ShareAdmission::refuseUnservable(const std::string &Workspace,
                                      Queue &Entry, Clock::time_point Now,
                                      AdmissionActions &Actions) {
  const ShareAmount Held = this->Ledger.held(Workspace, Now);
  auto &Requests = Entry.Requests;
  while (!Requests.empty()) {
    // No holder can lend; only tokens that accrue here before the deadline
    // remain.
    const double SecondsLeft =
        std::chrono::duration<double>(Requests.back().Deadline - Now).count();
    const double Tokens = double(Held.Tokens) + double(Held.Rate) * SecondsLeft;
    if (Held.Burst >= OneRequest &&
        Tokens >= double(Requests.size()) * double(OneRequest))
      return;
    Actions.Refused.emplace_back(Requests.back().Id,
                                 make_error_code(Errc::LimitReached));
    Requests.pop_back();
  }
}

} // namespace rr
