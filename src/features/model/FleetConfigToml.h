#ifndef REDWINGRACK_MODEL_FLEETCONFIGTOML_H
#define REDWINGRACK_MODEL_FLEETCONFIGTOML_H

#include "base/Outcome.h"
#include "model/FleetConfig.h"

#include <string>
#include <vector>

namespace rr {

/// Parses a configuration from TOML, with the same members as the JSON form. On
/// failure returns Errc::Malformed, and \p Problems has a line for each error
/// in the form "FILE:LINE: KEY: expected ...", or without LINE if it is
/// unknown.
Outcome<FleetConfig> parseFleetToml(const std::string &Text,
                                    const std::string &File,
                                    std::vector<std::string> &Problems);

} // namespace rr

#endif // REDWINGRACK_MODEL_FLEETCONFIGTOML_H
