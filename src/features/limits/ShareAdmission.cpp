#include "limits/ShareAdmission.h"

#include <algorithm>

namespace rr {

AdmissionActions ShareAdmission::submit(const std::string &Workspace,
                                        std::uint64_t Id,
                                        Clock::time_point Now) {
  AdmissionActions Step;
  this->Meter.note(Workspace, Now);
  Queue &Entry = this->Queues[Workspace];
  // Those that wait already come first.
  if (Entry.Requests.size() >= MaxWaiting) {
    Step.Refused.emplace_back(Id, make_error_code(Errc::LimitReached));
    return Step;
  }
  Entry.Requests.push_back({Id, Now + MaxWait});
  this->proceed(Workspace, Entry, Now, Step);
  return Step;
}

AdmissionActions ShareAdmission::receive(const ShareGrant &Grant,
                                         Clock::time_point Now) {
  AdmissionActions Step;
  const GrantResult Result = this->Ledger.receive(Grant, Now);
  if (Result != GrantResult::Added)
    return Step;
  Queue &Entry = this->Queues[Grant.Workspace];
  if (Grant.Borrowed) {
    if (Entry.Unanswered > 0)
      --Entry.Unanswered;
    // A new epoch divided the borrowed capacity anew.
    if (Entry.LoanEpoch != Grant.Epoch)
      Entry.Loans.clear();
    Entry.LoanEpoch = Grant.Epoch;
    if (this->Ledger.isConcentrated(Grant.Workspace))
      Entry.Loans[Grant.From] += Grant.Amount.Burst;
  }
  this->proceed(Grant.Workspace, Entry, Now, Step);
  return Step;
}

void ShareAdmission::giveBack(const std::string &Workspace, Queue &Entry,
                              Clock::time_point Now, AdmissionActions &Step) {
  if (Entry.LoanEpoch == this->Ledger.epoch())
    for (const auto &[Lender, Burst] : Entry.Loans)
      if (auto Grant = this->Ledger.giveBack(Workspace, Lender, Burst, Now))
        Step.GrantsToReturn.push_back(std::move(*Grant));
  Entry.Loans.clear();
}

AdmissionActions ShareAdmission::wake(Clock::time_point Now) {
  AdmissionActions Step;
  for (auto &[Name, Entry] : this->Queues)
    this->proceed(Name, Entry, Now, Step);
  return Step;
}

void ShareAdmission::cancel(const std::string &Workspace, std::uint64_t Id) {
  const auto Found = this->Queues.find(Workspace);
  if (Found != this->Queues.end())
    std::erase_if(Found->second.Requests,
                  [Id](const Waiting &Item) { return Item.Id == Id; });
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
    if (Entry.Unanswered > 0)
      Include(Entry.AnswerBy);
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

void ShareAdmission::proceed(const std::string &Workspace, Queue &Entry,
                             Clock::time_point Now, AdmissionActions &Step) {
  auto &Requests = Entry.Requests;
  while (!Requests.empty()) {
    const Outcome<void> Admitted = this->Ledger.tryAdmit(Workspace, Now);
    if (Admitted) {
      Step.Admitted.push_back(Requests.front().Id);
    } else {
      // Without a token the request waits; any other reason is final.
      if (Admitted.error() == Errc::LimitReached &&
          Now < Requests.front().Deadline)
        break;
      Step.Refused.emplace_back(Requests.front().Id, Admitted.error());
    }
    Requests.pop_front();
  }
  if (!Requests.empty() && (Entry.Unanswered == 0 || Now >= Entry.AnswerBy))
    this->borrow(Workspace, Entry, Now, Step);
  if (Requests.empty())
    this->giveBack(Workspace, Entry, Now, Step);
}

void ShareAdmission::borrow(const std::string &Workspace, Queue &Entry,
                            Clock::time_point Now, AdmissionActions &Step) {
  const MicroRequests Gathered = this->Ledger.held(Workspace, Now).Tokens;
  // Borrowed capacity of a concentrated workspace goes back after use, so
  // tokens beyond those that are needed now would only travel.
  const MicroRequests Ahead = this->Ledger.isConcentrated(Workspace)
                                  ? 0
                                  : this->Meter.demand(Workspace, Now) /
                                        (std::chrono::seconds(1) / BorrowAhead);
  const MicroRequests Waits = MicroRequests(Entry.Requests.size()) * OneRequest;
  const auto Requests = this->Planner.plan(
      Workspace, this->Ledger.epoch(), std::max(Ahead, Waits) - Gathered,
      OneRequest - Gathered, Gathered, this->Ledger.homes(Workspace) == 1, Now);
  Entry.Unanswered = Requests.size();
  Entry.AnswerBy = Now + AnswerTime;
  Step.BorrowRequests.insert(Step.BorrowRequests.end(), Requests.begin(),
                             Requests.end());
  if (Requests.empty())
    this->refuseHopeless(Workspace, Entry, Now, Step);
}

void ShareAdmission::refuseHopeless(const std::string &Workspace, Queue &Entry,
                                    Clock::time_point Now,
                                    AdmissionActions &Step) {
  const ShareAmount Held = this->Ledger.held(Workspace, Now);
  auto &Requests = Entry.Requests;
  while (!Requests.empty()) {
    // Nobody can lend: only what accrues here until the deadline is left.
    const double Left =
        std::chrono::duration<double>(Requests.back().Deadline - Now).count();
    const double Tokens = double(Held.Tokens) + double(Held.Rate) * Left;
    if (Held.Burst >= OneRequest &&
        Tokens >= double(Requests.size()) * double(OneRequest))
      return;
    Step.Refused.emplace_back(Requests.back().Id,
                              make_error_code(Errc::LimitReached));
    Requests.pop_back();
  }
}

} // namespace rr
