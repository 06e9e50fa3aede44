#ifndef REDWINGRACK_STEERING_LOADNOTICE_H
#define REDWINGRACK_STEERING_LOADNOTICE_H

#include "base/Clock.h"

#include <optional>
#include <string>

namespace rr {

/// Announces that an instance is overloaded, or is not any more, before its row
/// has been written and read.
struct LoadNotice {
  std::string Name;
  /// As in MemberRecord.
  std::string Incarnation;
  std::string Region;
  /// Store clock time at which the notice was made.
  Clock::duration MadeAt{0};
  /// Store clock time since which the instance is overloaded; empty if it is
  /// not.
  std::optional<Clock::duration> Distressed;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_LOADNOTICE_H
