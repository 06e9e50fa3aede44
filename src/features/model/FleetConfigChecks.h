#ifndef REDWINGRACK_MODEL_FLEETCONFIGCHECKS_H
#define REDWINGRACK_MODEL_FLEETCONFIGCHECKS_H

#include <string>
#include <vector>

namespace rr {

struct FleetConfig;

/// Adds a line to \p Problems for each reference to an undefined item, each
void checkFleetConfig(const FleetConfig &Config,
                      std::vector<std::string> &Problems);

} // namespace rr

#endif // REDWINGRACK_MODEL_FLEETCONFIGCHECKS_H
