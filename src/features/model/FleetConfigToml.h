#ifndef REDWINGRACK_MODEL_FLEETCONFIGTOML_H
#define REDWINGRACK_MODEL_FLEETCONFIGTOML_H

#include "base/Outcome.h"
#include "model/FleetConfig.h"

#include <string>
#include <vector>

namespace rr {

/// Reads a configuration from TOML with the same members as the JSON form.
/// On failure \p Problems has FILE:LINE: KEY: what was expected.
Outcome<FleetConfig> parseFleetToml(const std::string &Text,
                                    const std::string &File,
                                    std::vector<std::string> &Problems);

} // namespace rr

#endif // REDWINGRACK_MODEL_FLEETCONFIGTOML_H
