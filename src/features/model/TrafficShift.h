#ifndef REDWINGRACK_MODEL_TRAFFICSHIFT_H
#define REDWINGRACK_MODEL_TRAFFICSHIFT_H

#include <string>

namespace rr {

/// Share of a workspace's traffic that is served in another region than the one
/// where it enters the fleet.
struct TrafficShift {
  std::string Workspace;
  /// Region where the traffic enters; empty for all regions.
  std::string FromRegion;
  std::string ToRegion;
  /// Upper limit, 0 to 1.
  double Share = 0;
};

} // namespace rr

#endif // REDWINGRACK_MODEL_TRAFFICSHIFT_H
