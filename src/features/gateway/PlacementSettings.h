#ifndef REDWINGRACK_GATEWAY_PLACEMENTSETTINGS_H
#define REDWINGRACK_GATEWAY_PLACEMENTSETTINGS_H

namespace rr {

/// Which services place requests by their cost and the servers' backlog.
enum class PlaceByCost {
  /// Those whose servers report the speed of their machines.
  Auto,
  On,
  Off,
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_PLACEMENTSETTINGS_H
