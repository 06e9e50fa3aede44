#include "tables/StoreAvailability.h"

#include "logging/EventLog.h"

#include <algorithm>

namespace rr {

namespace {

constexpr Clock::duration InitialRetryDelay = std::chrono::milliseconds(150);
constexpr int MaxDoublings = 2;
/// Jitter changes a retry delay by at most this fraction.
constexpr double JitterFraction = 0.25;
/// Entries may have expired during an outage longer than this.
constexpr Clock::duration MinExpiryGap = std::chrono::milliseconds(2500);
/// Running servers write their entries again within two seconds; the next poll
/// then reads them.
constexpr Clock::duration RecoveryPeriod = std::chrono::milliseconds(2200);

Clock::duration delayAfter(int Doublings, double Factor) {
  const auto Delay = double((InitialRetryDelay * (1 << Doublings)).count());
  return Clock::duration(Clock::rep(Delay * Factor));
}

Clock::duration maxRetryDelay() {
  return delayAfter(MaxDoublings, 1 + JitterFraction);
}

} // namespace

void StoreAvailability::recordSuccess(Clock::time_point Now) {
  const bool Known = this->LastSuccess != Clock::time_point{};
  // Without a failed call, the gap is the reader's own polling interval.
  if (Known && this->Failures > 0 && Now - this->LastSuccess > MinExpiryGap) {
    // A reader that tries seldom learns late that the store is back. Another
    // one would have found out after one retry delay.
    this->RecoveryEnd =
        std::min(Now, this->LastFailure + maxRetryDelay()) + RecoveryPeriod;
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
  this->LastFailure = Now;
  return retryDelay(this->Failures - 1, Jitter);
}

Clock::duration StoreAvailability::retryDelay(int Earlier, double Jitter) {
  return delayAfter(std::min(Earlier, MaxDoublings),
                    1 - JitterFraction + 2 * JitterFraction * Jitter);
}

} // namespace rr
