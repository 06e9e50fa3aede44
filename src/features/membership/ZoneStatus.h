#ifndef REDWINGRACK_MEMBERSHIP_ZONESTATUS_H
#define REDWINGRACK_MEMBERSHIP_ZONESTATUS_H

#include "base/Clock.h"
#include "membership/ControlVersions.h"
#include "membership/LoadReport.h"

#include <string>
#include <vector>

namespace rr {

/// One zone, or the whole fleet, in a summary. Members that are all right share
/// one age and one set of versions; only the others are named, so that the size
/// depends on the number of zones and not of members.
struct ZoneStatus {
  /// More than the members of a region, so that its failure does not raise
  /// the common age.
  static constexpr std::size_t MostExceptions = 256;

  struct Exception {
    std::string Name;
    Clock::duration Age{0};
    ControlVersions Acknowledged;
    bool Synchronised = false;
  };

  /// MemberTable::AllZones for the whole fleet.
  std::string Zone;
  /// MemberTable::zoneDigest() of the sender; the ages and versions hold for
  /// a receiver with the same members only.
  std::string MemberDigest;
  /// Greatest age of the members without an exception.
  Clock::duration OldestAge{0};
  /// Versions that all members without an exception have acknowledged.
  ControlVersions Acknowledged;
  std::vector<Exception> Exceptions;
  /// Of the members without an exception; true when in doubt.
  bool Synchronised = false;
  LoadReport Load;
};

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_ZONESTATUS_H
