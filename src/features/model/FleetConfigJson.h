#ifndef REDWINGRACK_MODEL_FLEETCONFIGJSON_H
#define REDWINGRACK_MODEL_FLEETCONFIGJSON_H

#include "base/Outcome.h"
#include "model/FleetConfig.h"

#include <string>
#include <vector>

namespace rr {

/// Parses a configuration from JSON and validates it. On failure returns
/// Errc::Malformed, and \p Problems has a line for each error: the path of the
/// member and what was expected.
Outcome<FleetConfig> parseFleetConfig(const std::string &Text,
                                      std::vector<std::string> &Problems);

/// Formats the configuration as JSON that parseFleetConfig() reads back
/// unchanged.
std::string formatFleetConfig(const FleetConfig &Config);

} // namespace rr

#endif // REDWINGRACK_MODEL_FLEETCONFIGJSON_H
