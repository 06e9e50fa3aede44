#ifndef REDWINGRACK_QUARANTINE_SUSPECTRECORD_H
#define REDWINGRACK_QUARANTINE_SUSPECTRECORD_H

#include "base/Clock.h"

#include <cstddef>
#include <map>
#include <string>

namespace rr {

/// What is known of one fingerprint. Records merge by union and by the later
/// time, so the order and the number of deliveries do not matter.
struct SuspectRecord {
  /// Crashes, and cleared crashes, that are kept. Two decide; the others only
  /// keep late repeats from counting again.
  static constexpr std::size_t MaxEntries = 8;

  /// Crash id to the time until which it counts.
  std::map<std::string, Clock::time_point> Crashes;
  /// Crash ids that a later success disproved, and how long that is kept.
  std::map<std::string, Clock::time_point> Cleared;

  void merge(const SuspectRecord &Other);
  /// Crashes that no success has disproved.
  std::size_t unclearedCrashes() const;
  /// Time at which nothing of the record is of use any more.
  Clock::time_point expiry() const;
};

} // namespace rr

#endif // REDWINGRACK_QUARANTINE_SUSPECTRECORD_H
