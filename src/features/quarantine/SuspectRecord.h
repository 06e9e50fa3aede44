#ifndef REDWINGRACK_QUARANTINE_SUSPECTRECORD_H
#define REDWINGRACK_QUARANTINE_SUSPECTRECORD_H

#include "base/Clock.h"

#include <cstddef>
#include <map>
#include <string>

namespace rr {

/// Crash history of one fingerprint. Records merge by union, keeping the later
/// time, so that messages may be reordered and repeated.
struct SuspectRecord {
  /// Maximum number of crashes and of cleared crashes. Two crashes decide;
  /// further entries keep late repeats from being counted again.
  static constexpr std::size_t MaxEntries = 8;

  /// Crash ids with their expiry times.
  std::map<std::string, Clock::time_point> Crashes;
  /// Crash ids cleared by a later success or an operator, with their expiry
  /// times.
  std::map<std::string, Clock::time_point> Cleared;

  void merge(const SuspectRecord &Other);
  /// Number of crashes that have not been cleared.
  std::size_t unclearedCrashes() const;
  /// Time at which the whole record has expired.
  Clock::time_point expiry() const;
};

} // namespace rr

#endif // REDWINGRACK_QUARANTINE_SUSPECTRECORD_H
