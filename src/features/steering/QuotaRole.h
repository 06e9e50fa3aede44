#ifndef REDWINGRACK_STEERING_QUOTAROLE_H
#define REDWINGRACK_STEERING_QUOTAROLE_H

namespace rr {

/// Role of an instance in distributing a workspace's rate.
enum class QuotaRole {
  /// Uses only its own share; no holder is reachable.
  Independent,
  /// Transfers surplus tokens to the region's holder, and requests more from
  /// it.
  Member,
  /// Holds the surplus tokens of its region's instances.
  Holder
};

} // namespace rr

#endif // REDWINGRACK_STEERING_QUOTAROLE_H
