#include "tables/StoreAvailability.h"

#include "logging/EventLog.h"

#include <algorithm>

namespace rr {

namespace {

constexpr Clock::duration InitialRetryDelay = std::chrono::milliseconds(150);
constexpr int MaxDoublings = 2;
/// Entries may have expired during an outage longer than this.
constexpr Clock::duration MinExpiryGap = std::chrono::milliseconds(2500);
/// Running servers write their entries again within two seconds; the next poll
/// then reads them.
constexpr Clock::duration RecoveryPeriod = std::chrono::milliseconds(2200);

} // namespace

void StoreAvailability::recordSuccess(Clock::time_point Now) {
  const bool Known = this->LastSuccess != Clock::time_point{};
  // Without a failed call, the gap is the reader's own polling interval.
  if (Known && this->Failures > 0 && Now - this->LastSuccess > MinExpiryGap) {
    this->RecoveryEnd = Now + RecoveryPeriod;
    this->LastSuccessBeforeGap = this->LastSuccess;
  }
  if (this->Failures > 0)
    logEvent(
        Event::StoreAvailable,
        {{"table", this->Table}, {"failures", std::to_string(this->Failures)}});
  this->Failures = 0;
  this->LastSuccess = Now;
}

bool StoreAvailability::isRecovering(
    Clock::time_point Now,
    const std::vector<const StoreAvailability *> &Others) const {
  Clock::time_point Earliest = this->RecoveryEnd;
  for (const StoreAvailability *Other : Others)
    if (Other->RecoveryEnd > this->LastSuccessBeforeGap + RecoveryPeriod)
      Earliest = std::min(Earliest, Other->RecoveryEnd);
  return Now < Earliest;
}

Clock::duration StoreAvailability::recordFailure(Clock::time_point Now,
                                                 double Jitter) {
  if (this->Failures++ == 0)
    logEvent(Event::StoreUnavailable, {{"table", this->Table}});
  const int Doublings = std::min(this->Failures - 1, MaxDoublings);
  const auto Delay = double((InitialRetryDelay * (1 << Doublings)).count());
  return Clock::duration(Clock::rep(Delay * (0.75 + 0.5 * Jitter)));
}

} // namespace rr
