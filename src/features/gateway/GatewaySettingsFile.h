#ifndef REDWINGRACK_GATEWAY_GATEWAYSETTINGSFILE_H
#define REDWINGRACK_GATEWAY_GATEWAYSETTINGSFILE_H

#include "base/Outcome.h"
#include "gateway/GatewaySettings.h"
#include "settings/Diagnostics.h"

#include <string>

namespace rr {

/// Parses and validates the settings of an instance on a platform; \p File is
/// used in diagnostics. Errc::Malformed if there are errors; \p Found then
/// lists all of them. Header names are not part of the file.
Outcome<GatewaySettings> parseGatewaySettings(const std::string &Text,
                                              const std::string &File,
                                              Diagnostics &Found);

/// Loads the settings from a file. Errors as of parseGatewaySettings(), and
/// Errc::NotFound if the file cannot be read.
Outcome<GatewaySettings> loadGatewaySettings(const std::string &File,
                                             Diagnostics &Found);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_GATEWAYSETTINGSFILE_H
