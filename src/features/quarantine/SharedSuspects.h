#ifndef REDWINGRACK_QUARANTINE_SHAREDSUSPECTS_H
#define REDWINGRACK_QUARANTINE_SHAREDSUSPECTS_H

#include "quarantine/CrashObservation.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace rr {

/// Requests that were lost in crashes of servers, as observed by all instances
/// of the fleet. Decides which of them are refused. All times are on the
/// store's clock.
class SharedSuspects {
public:
  /// Time after its last crash for which a request is suspected.
  static constexpr Clock::duration SuspicionPeriod = std::chrono::minutes(10);
  /// When there are more, those with the oldest crashes are dropped.
  static constexpr std::size_t MaxFingerprints = 4096;

  /// Adds an observation. It may be known already.
  void add(const CrashObservation &Observation);
  void remove(const std::string &Fingerprint, const std::string &ServerRun);
  void clear() { this->Records.clear(); }

  bool empty() const { return this->Records.empty(); }
  std::size_t size() const { return this->Records.size(); }
  bool isSuspect(const std::string &Fingerprint) const {
    return this->Records.contains(Fingerprint);
  }
  /// Time for which the request is still refused; zero if it may run. It is
  /// refused after it was lost with two servers, unless these losses may be one
  /// event, such as a failure of a zone in which it ran several times.
  Clock::duration blockedFor(const std::string &Fingerprint,
                             Clock::duration Now) const;
  std::vector<CrashObservation>
  observationsOf(const std::string &Fingerprint) const;
  /// Time of the last known loss of any request.
  Clock::duration lastLoss() const { return this->LastLoss; }
  /// The observations that have no effect any more.
  std::vector<CrashObservation> expired(Clock::duration Now) const;

private:
  /// By server run.
  using Record = std::map<std::string, CrashObservation>;

  static Clock::duration lastLossOf(const Record &Losses);

  /// By fingerprint.
  std::map<std::string, Record> Records;
  Clock::duration LastLoss{0};
};

} // namespace rr

#endif // REDWINGRACK_QUARANTINE_SHAREDSUSPECTS_H
