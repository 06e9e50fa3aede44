#ifndef REDWINGRACK_GATEWAY_TESTPLATFORM_H
#define REDWINGRACK_GATEWAY_TESTPLATFORM_H

#include "gateway/GatewaySettings.h"
#include "gateway/PlatformCodec.h"
#include "steering/SteeringConfig.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace rr {

/// Configurations by version.
using TestConfigurations =
    std::map<std::uint64_t, std::shared_ptr<const SteeringConfig>>;

/// Codec of a platform for tests. In the table `orders`, the row `config` holds
/// a version of \p Configs, the row `version` the target of a roll-out of the
/// service stock, and the key of any other row is the zone to evacuate. A row
/// of the table `backends` holds ADDRESS ZONE STATE, and optionally the start
/// time. \p Configs must outlive the codec.
PlatformCodec testCodec(const TestConfigurations &Configs);

/// Settings of the instance i0 in zone z-a of region z, with free ports.
GatewaySettings testSettings();

/// Routes of host h to the service stock: a safe one below /safe/, an unsafe
/// one below /order/ and one without a key below /open/. All \p Keys belong to
/// the workspace w.
std::shared_ptr<const SteeringConfig>
testConfiguration(std::uint64_t Version, const std::set<std::string> &Keys,
                  double Rate, double Burst);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_TESTPLATFORM_H
