#ifndef REDWINGRACK_GATEWAY_GATEWAYSETTINGSFILE_H
#define REDWINGRACK_GATEWAY_GATEWAYSETTINGSFILE_H

#include "base/Outcome.h"
#include "gateway/GatewaySettings.h"
#include "settings/Diagnostics.h"

#include <string>

namespace rr {

/// Reads and checks the settings of an instance on a platform. On failure
/// \p Found has every mistake. Header names are not part of the file.
Outcome<GatewaySettings> parseGatewaySettings(const std::string &Text,
                                              const std::string &File,
                                              Diagnostics &Found);

/// The same for a file. Errc::NotFound when it cannot be read.
Outcome<GatewaySettings> loadGatewaySettings(const std::string &File,
                                             Diagnostics &Found);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_GATEWAYSETTINGSFILE_H
