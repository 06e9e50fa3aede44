#ifndef REDWINGRACK_MODEL_FLEETCONFIGJSON_H
#define REDWINGRACK_MODEL_FLEETCONFIGJSON_H

#include "base/Outcome.h"
#include "model/FleetConfig.h"

#include <string>
#include <vector>

namespace rr {

/// Reads a configuration from JSON and checks it. On failure \p Problems has
/// a line for each mistake: where it is and what was expected.
Outcome<FleetConfig> parseFleetConfig(const std::string &Text,
                                      std::vector<std::string> &Problems);

/// The configuration as JSON; parseFleetConfig() reads it back unchanged.
std::string formatFleetConfig(const FleetConfig &Config);

} // namespace rr

#endif // REDWINGRACK_MODEL_FLEETCONFIGJSON_H
