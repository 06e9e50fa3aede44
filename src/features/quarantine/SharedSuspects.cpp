#include "quarantine/SharedSuspects.h"

#include <algorithm>

namespace rr {

namespace {

constexpr std::size_t MinCrashesToBlock = 2;
/// Losses of requests that were sent within this time of the first loss may
/// have one cause. Covers the round trip to another region, within which a
/// request may be sent to a server that is gone, and the error of the estimate
/// of the store's clock.
constexpr Clock::duration SingleEventTime = std::chrono::milliseconds(100);

} // namespace

Clock::duration SharedSuspects::lastLossOf(const Record &Losses) {
  Clock::duration Last{0};
  for (const auto &Item : Losses)
    Last = std::max(Last, Item.second.LostAt);
  return Last;
}

void SharedSuspects::add(const CrashObservation &Observation) {
  this->LastLoss = std::max(this->LastLoss, Observation.LostAt);
  this->Records[Observation.Fingerprint].try_emplace(Observation.ServerRun,
                                                     Observation);
  if (this->Records.size() <= MaxFingerprints)
    return;
  this->Records.erase(std::min_element(
      this->Records.begin(), this->Records.end(),
      [](const auto &Left, const auto &Right) {
        return lastLossOf(Left.second) < lastLossOf(Right.second);
      }));
}

void SharedSuspects::remove(const std::string &Fingerprint,
                            const std::string &ServerRun) {
  const auto Found = this->Records.find(Fingerprint);
  if (Found == this->Records.end())
    return;
  Found->second.erase(ServerRun);
  if (Found->second.empty())
    this->Records.erase(Found);
}

Clock::duration SharedSuspects::blockedFor(const std::string &Fingerprint,
                                           Clock::duration Now) const {
  const auto Found = this->Records.find(Fingerprint);
  if (Found == this->Records.end() || Found->second.size() < MinCrashesToBlock)
    return Clock::duration::zero();
  Clock::duration FirstLoss = Clock::duration::max();
  Clock::duration LastSending{0};
  for (const auto &Item : Found->second) {
    FirstLoss = std::min(FirstLoss, Item.second.LostAt);
    LastSending = std::max(LastSending, Item.second.SentAt);
  }
  if (LastSending < FirstLoss + SingleEventTime)
    return Clock::duration::zero();
  return std::max(Clock::duration::zero(),
                  lastLossOf(Found->second) + SuspicionPeriod - Now);
}

std::vector<CrashObservation>
SharedSuspects::observationsOf(const std::string &Fingerprint) const {
  std::vector<CrashObservation> Result;
  const auto Found = this->Records.find(Fingerprint);
  if (Found != this->Records.end())
    for (const auto &Item : Found->second)
      Result.push_back(Item.second);
  return Result;
}

std::vector<CrashObservation>
SharedSuspects::expired(Clock::duration Now) const {
  std::vector<CrashObservation> Result;
  for (const auto &[Fingerprint, Losses] : this->Records)
    if (lastLossOf(Losses) + SuspicionPeriod <= Now)
      for (const auto &Item : Losses)
        Result.push_back(Item.second);
  return Result;
}

} // namespace rr
