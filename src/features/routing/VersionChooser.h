#ifndef REDWINGRACK_ROUTING_VERSIONCHOOSER_H
#define REDWINGRACK_ROUTING_VERSIONCHOOSER_H

#include "routing/ShiftMeter.h"

#include <string>
#include <string_view>
#include <vector>

namespace rr {

struct FleetConfig;

/// Chooses between the stable and the canary version of each service.
class VersionChooser {
public:
  /// The versions of one service.
  struct Choice {
    std::string Service;
    std::string Stable;
    /// Empty when no canary takes part.
    std::string Canary;
    double CanaryShare = 0;
    ShiftMeter Meter;
  };

  /// Takes over the splits. A service without a split has the version of its
  /// first server. Meters whose share did not change keep their state.
  void configure(const FleetConfig &Config);
  /// Sends nothing to a faulty canary from now on.
  void stopVersion(std::string_view Service, std::string_view Version);

  /// Null when the service is unknown.
  Choice *find(std::string_view Service);

private:
  struct StoppedVersion {
    std::string Service;
    std::string Version;
  };
  void applyStops();

  std::vector<Choice> Choices;
  std::vector<StoppedVersion> Stopped;
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_VERSIONCHOOSER_H
