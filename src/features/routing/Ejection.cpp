#include "routing/Ejection.h"

#include <algorithm>
#include <cmath>

namespace rr {

namespace {

constexpr std::chrono::duration<double> RateTimeConstant{10.0};
// Below this many recent requests a failure rate is noise.
constexpr double MinRequests = 20;
// An outlier fails at least this much more often than its peers.
constexpr double RateMargin = 0.2;
constexpr std::chrono::seconds OverdueTime{30};

} // namespace

double Ejection::decay(Clock::time_point Now) const {
  const std::chrono::duration<double> Gap =
      std::max(Now - this->CountedAt, Clock::duration::zero());
  return std::exp(-(Gap / RateTimeConstant));
}

void Ejection::count(bool Failed, Clock::time_point Now) {
  const double Kept = this->decay(Now);
  this->Requests = this->Requests * Kept + 1;
  this->Failures = this->Failures * Kept + (Failed ? 1 : 0);
  this->CountedAt = Now;
  this->Consecutive = Failed ? this->Consecutive + 1 : 0;
}

double Ejection::failureRate() const {
  return this->Requests > 0 ? this->Failures / this->Requests : 0;
}

bool Ejection::isFaulty(double PeerFailureRate, Clock::time_point Now) const {
  if (this->Consecutive >= MaxConsecutiveFailures)
    return true;
  return this->Requests * this->decay(Now) >= MinRequests &&
         this->failureRate() > 2 * PeerFailureRate + RateMargin;
}

void Ejection::eject(Clock::time_point Now) {
  // A server that fails soon after its return waits twice as long.
  const bool Relapsed = this->ReturnedAt != Clock::time_point{} &&
                        Now - this->ReturnedAt < LongestPause;
  this->Pause = Relapsed
                    ? std::min<Clock::duration>(2 * this->Pause, LongestPause)
                    : Clock::duration(FirstPause);
  this->State = Health::Ejected;
  this->TrialAt = Now + this->Pause;
}

bool Ejection::endTrial(RequestOutcome Outcome, Clock::time_point Now) {
  this->TrialRunning = false;
  if (Outcome == RequestOutcome::Abandoned)
    return false;
  if (Outcome == RequestOutcome::Failure) {
    this->Pause = std::min<Clock::duration>(2 * this->Pause, LongestPause);
    this->TrialAt = Now + this->Pause;
    return false;
  }
  this->State = Health::Healthy;
  this->ReturnedAt = Now;
  this->Consecutive = 0;
  this->Requests = this->Failures = 0;
  return true;
}

bool Ejection::record(RequestOutcome Outcome, bool WasTrial,
                      Clock::time_point Now) {
  if (WasTrial)
    return this->endTrial(Outcome, Now);
  // Requests from before the ejection say nothing about the server's return.
  if (Outcome != RequestOutcome::Abandoned && this->State != Health::Ejected)
    this->count(Outcome == RequestOutcome::Failure, Now);
  return false;
}

void Ejection::setFaulty(bool MayEject, Clock::time_point Now) {
  if (this->State == Health::Ejected)
    return;
  if (MayEject)
    this->eject(Now);
  else
    this->State = Health::Suspect;
}

void Ejection::setHealthy() {
  if (this->State == Health::Suspect)
    this->State = Health::Healthy;
}

bool Ejection::trialDue(Clock::time_point Now) const {
  return this->State == Health::Ejected && !this->TrialRunning &&
         Now >= this->TrialAt;
}

bool Ejection::trialOverdue(Clock::time_point Now) const {
  return this->trialDue(Now) && Now >= this->TrialAt + OverdueTime;
}

} // namespace rr
