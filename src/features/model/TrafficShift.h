#ifndef REDWINGRACK_MODEL_TRAFFICSHIFT_H
#define REDWINGRACK_MODEL_TRAFFICSHIFT_H

#include <string>

namespace rr {

/// Part of a workspace's traffic that is served in another region than the
/// one where it enters.
struct TrafficShift {
  std::string Workspace;
  /// Empty for traffic that enters anywhere.
  std::string FromRegion;
  std::string ToRegion;
  /// 0 to 1; never exceeded.
  double Share = 0;
};

} // namespace rr

#endif // REDWINGRACK_MODEL_TRAFFICSHIFT_H
