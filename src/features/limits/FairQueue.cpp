#include "limits/FairQueue.h"

#include <algorithm>
#include <utility>

namespace rr {

namespace {

/// Minimum credit per visit. It bounds the rounds that one dispatch can take.
/// Workspaces below 1/64 of the largest weight get equal shares.
constexpr double MinQuantum = 1.0 / 64;
/// Credit that a dispatch requires. Slightly below 1, because quanta that
/// should add up to one request may miss it by a rounding error.
constexpr double DispatchCredit = 1 - 1e-9;
/// Weight of a new sample in the average time between dispatches.
constexpr double SampleWeight = 0.1;

double quantum(double Weight, double MaxWeight) {
  return std::max(Weight / MaxWeight, MinQuantum);
}

} // namespace

void FairQueue::setWeight(const std::string &Workspace, double Weight) {
  this->Flows[Workspace].Weight = Weight > 0 ? Weight : 1;
}

double FairQueue::maxActiveWeight() const {
  double Result = 0;
  for (const std::string &Name : this->Active)
    Result = std::max(Result, this->Flows.at(Name).Weight);
  return Result;
}

void FairQueue::activate(const std::string &Name, Flow &Entry) {
  this->Active.push_back(Name);
  // Credit for the rounds in which the flow was idle, limited so that the flow
  // has at most one request's credit on its first visit. A workspace with a
  // small weight is then served soon, and one that alternates between idle and
  // active cannot exceed its weight.
  const double Quantum = quantum(Entry.Weight, this->maxActiveWeight());
  const double MissedRounds = this->Round - Entry.IdleSinceRound;
  Entry.Deficit = std::min(1 - Quantum, Entry.Deficit + MissedRounds * Quantum);
}

Outcome<void> FairQueue::push(QueuedRequest Request, Clock::time_point Now) {
  Flow &Entry = this->Flows[Request.Workspace];
  if (Entry.Waiting.size() >= this->MaxPerWorkspace)
    return failure(Errc::LimitReached);
  if (Now + this->estimatedWait(Request.Workspace, Now) >= Request.Deadline)
    return failure(Errc::Timeout);
  if (this->Size == 0) {
    this->LastDispatch.reset();
    // After an idle phase, every flow gets the maximum credit.
    this->Round += 1 / MinQuantum;
  }
  if (Entry.Waiting.empty())
    this->activate(Request.Workspace, Entry);
  Entry.Waiting.push_back(std::move(Request));
  ++this->Size;
  return {};
}

void FairQueue::endVisit(bool KeepActive) {
  const std::string Name = std::move(this->Active.front());
  this->Round += 1.0 / double(this->Active.size());
  this->Active.pop_front();
  this->FrontCredited = false;
  if (KeepActive)
    this->Active.push_back(Name);
  else
    this->Flows.at(Name).IdleSinceRound = this->Round;
}

void FairQueue::dropExpired(Flow &Entry, Clock::time_point Now,
                            std::vector<QueuedRequest> &Expired) {
  // Expired requests behind the front are dropped when they reach it.
  while (!Entry.Waiting.empty() && Entry.Waiting.front().Deadline <= Now) {
    Expired.push_back(std::move(Entry.Waiting.front()));
    Entry.Waiting.pop_front();
    --this->Size;
  }
}

void FairQueue::recordDispatch(Clock::time_point Now) {
  if (this->LastDispatch) {
    const Clock::duration Sample = Now - *this->LastDispatch;
    if (!this->DispatchInterval)
      this->DispatchInterval = Sample;
    else
      *this->DispatchInterval += std::chrono::duration_cast<Clock::duration>(
          (Sample - *this->DispatchInterval) * SampleWeight);
  }
  // Idle time of the queue must not count as time between dispatches.
  this->LastDispatch.reset();
  if (this->Size > 0)
    this->LastDispatch = Now;
}

std::optional<QueuedRequest>
FairQueue::pop(Clock::time_point Now, std::vector<QueuedRequest> &Expired) {
  const double MaxWeight = this->maxActiveWeight();
  while (!this->Active.empty()) {
    Flow &Entry = this->Flows.at(this->Active.front());
    this->dropExpired(Entry, Now, Expired);
    if (Entry.Waiting.empty()) {
      this->endVisit(false);
      continue;
    }
    if (!this->FrontCredited)
      Entry.Deficit += quantum(Entry.Weight, MaxWeight);
    this->FrontCredited = true;
    if (Entry.Deficit < DispatchCredit) {
      this->endVisit(true);
      continue;
    }
    Entry.Deficit -= 1;
    QueuedRequest Result = std::move(Entry.Waiting.front());
    Entry.Waiting.pop_front();
    --this->Size;
    if (Entry.Waiting.empty() || Entry.Deficit < DispatchCredit)
      this->endVisit(!Entry.Waiting.empty());
    this->recordDispatch(Now);
    return Result;
  }
  return std::nullopt;
}

bool FairQueue::cancel(const std::string &Workspace, std::uint64_t Id) {
  const auto Found = this->Flows.find(Workspace);
  if (Found == this->Flows.end())
    return false;
  auto &Waiting = Found->second.Waiting;
  const auto Item =
      std::find_if(Waiting.begin(), Waiting.end(),
                   [Id](const QueuedRequest &Each) { return Each.Id == Id; });
  if (Item == Waiting.end())
    return false;
  Waiting.erase(Item);
  --this->Size;
  if (Waiting.empty()) {
    const auto Position =
        std::find(this->Active.begin(), this->Active.end(), Workspace);
    if (Position == this->Active.begin())
      this->endVisit(false);
    else
      this->Active.erase(Position);
    Found->second.IdleSinceRound = this->Round;
  }
  return true;
}

Clock::duration FairQueue::estimatedWait(const std::string &Workspace,
                                         Clock::time_point Now) const {
  if (!this->DispatchInterval || this->Size == 0)
    return Clock::duration::zero();
  Clock::duration Interval = *this->DispatchInterval;
  // While a service accepts no requests, there are no new samples.
  if (this->LastDispatch)
    Interval = std::max(Interval, Now - *this->LastDispatch);
  const auto Found = this->Flows.find(Workspace);
  const bool IsKnown = Found != this->Flows.end();
  const double OwnWeight = IsKnown ? Found->second.Weight : 1;
  const double Waiting = IsKnown ? double(Found->second.Waiting.size()) : 0;
  double WeightSum = Waiting > 0 ? 0 : OwnWeight;
  for (const std::string &Name : this->Active)
    WeightSum += this->Flows.at(Name).Weight;
  const double RequestsAhead =
      std::min(double(this->Size), (Waiting + 1) * WeightSum / OwnWeight - 1);
  return std::chrono::duration_cast<Clock::duration>(Interval * RequestsAhead);
}

} // namespace rr
