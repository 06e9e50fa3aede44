#ifndef REDWINGRACK_STEERING_QUOTAROLE_H
#define REDWINGRACK_STEERING_QUOTAROLE_H

namespace rr {

/// What an instance does with its part of a workspace's rate.
enum class QuotaRole {
  /// Uses it alone; no instance can be asked.
  Independent,
  /// Passes what it does not need soon on to the region's holder, and asks it
  /// for more.
  Member,
  /// Holds what the instances of its region do not need soon.
  Holder
};

} // namespace rr

#endif // REDWINGRACK_STEERING_QUOTAROLE_H
