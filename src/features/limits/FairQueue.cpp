#include "limits/FairQueue.h"

#include <algorithm>
#include <utility>

namespace rr {

namespace {

/// Smallest credit of a visit. It bounds the rounds that one dispatch can
/// take; workspaces below a 64th of the largest weight share alike.
constexpr double LeastQuantum = 1.0 / 64;
constexpr double MostCredit = 1;
/// Weight of a new sample in the average time between dispatches.
constexpr double SampleWeight = 0.1;

double quantum(double Weight, double Largest) {
  return std::max(Weight / Largest, LeastQuantum);
}

} // namespace

void FairQueue::setWeight(const std::string &Workspace, double Weight) {
  this->Flows[Workspace].Weight = Weight > 0 ? Weight : 1;
}

double FairQueue::largestActiveWeight() const {
  double Result = 0;
  for (const std::string &Name : this->Active)
    Result = std::max(Result, this->Flows.at(Name).Weight);
  return Result;
}

void FairQueue::activate(const std::string &Name, Flow &Entry) {
  this->Active.push_back(Name);
  // Credit for the rounds that the flow sat out, up to one request: a light
  // workspace is served on its first visit, and one that comes and goes
  // cannot get more than its weight.
  const double Missed = this->Round - Entry.IdleSince;
  const double Credit =
      Missed * quantum(Entry.Weight, this->largestActiveWeight());
  Entry.Deficit = std::min(MostCredit, Entry.Deficit + Credit);
}

Outcome<void> FairQueue::push(QueuedRequest Request, Clock::time_point Now) {
  Flow &Entry = this->Flows[Request.Workspace];
  if (Entry.Waiting.size() >= this->MaxPerWorkspace)
    return failure(Errc::LimitReached);
  if (Now + this->estimatedWait(Request.Workspace, Now) >= Request.Deadline)
    return failure(Errc::Timeout);
  if (this->Size == 0) {
    this->LastDispatch.reset();
    // An idle queue owes nothing to anybody.
    this->Round += MostCredit / LeastQuantum;
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
    this->Flows.at(Name).IdleSince = this->Round;
}

void FairQueue::dropExpired(Flow &Entry, Clock::time_point Now,
                            std::vector<QueuedRequest> &Expired) {
  const auto First = std::stable_partition(
      Entry.Waiting.begin(), Entry.Waiting.end(),
      [Now](const QueuedRequest &Item) { return Now < Item.Deadline; });
  this->Size -= std::size_t(Entry.Waiting.end() - First);
  std::move(First, Entry.Waiting.end(), std::back_inserter(Expired));
  Entry.Waiting.erase(First, Entry.Waiting.end());
}

void FairQueue::noteDispatch(Clock::time_point Now) {
  if (this->LastDispatch) {
    const Clock::duration Sample = Now - *this->LastDispatch;
    if (!this->DispatchInterval)
      this->DispatchInterval = Sample;
    else
      *this->DispatchInterval += std::chrono::duration_cast<Clock::duration>(
          (Sample - *this->DispatchInterval) * SampleWeight);
  }
  // Time that passes while nothing waits says nothing about the service.
  this->LastDispatch.reset();
  if (this->Size > 0)
    this->LastDispatch = Now;
}

std::optional<QueuedRequest>
FairQueue::pop(Clock::time_point Now, std::vector<QueuedRequest> &Expired) {
  const double Largest = this->largestActiveWeight();
  while (!this->Active.empty()) {
    Flow &Entry = this->Flows.at(this->Active.front());
    this->dropExpired(Entry, Now, Expired);
    if (Entry.Waiting.empty()) {
      this->endVisit(false);
      continue;
    }
    if (!this->FrontCredited)
      Entry.Deficit += quantum(Entry.Weight, Largest);
    this->FrontCredited = true;
    if (Entry.Deficit < 1) {
      this->endVisit(true);
      continue;
    }
    Entry.Deficit -= 1;
    QueuedRequest Result = std::move(Entry.Waiting.front());
    Entry.Waiting.pop_front();
    --this->Size;
    if (Entry.Waiting.empty() || Entry.Deficit < 1)
      this->endVisit(!Entry.Waiting.empty());
    this->noteDispatch(Now);
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
    const auto Place =
        std::find(this->Active.begin(), this->Active.end(), Workspace);
    if (Place == this->Active.begin())
      this->endVisit(false);
    else
      this->Active.erase(Place);
    Found->second.IdleSince = this->Round;
  }
  return true;
}

Clock::duration FairQueue::estimatedWait(const std::string &Workspace,
                                         Clock::time_point Now) const {
  if (!this->DispatchInterval || this->Size == 0)
    return Clock::duration::zero();
  Clock::duration Interval = *this->DispatchInterval;
  // A service that stopped taking requests has no new samples.
  if (this->LastDispatch)
    Interval = std::max(Interval, Now - *this->LastDispatch);
  const auto Found = this->Flows.find(Workspace);
  const bool IsKnown = Found != this->Flows.end();
  const double Own = IsKnown ? Found->second.Weight : 1;
  const double Waiting = IsKnown ? double(Found->second.Waiting.size()) : 0;
  double Sum = Waiting > 0 ? 0 : Own;
  for (const std::string &Name : this->Active)
    Sum += this->Flows.at(Name).Weight;
  const double Ahead =
      std::min(double(this->Size), (Waiting + 1) * Sum / Own - 1);
  return std::chrono::duration_cast<Clock::duration>(Interval * Ahead);
}

} // namespace rr
