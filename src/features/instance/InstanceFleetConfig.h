#ifndef REDWINGRACK_INSTANCE_INSTANCEFLEETCONFIG_H
#define REDWINGRACK_INSTANCE_INSTANCEFLEETCONFIG_H

#include "model/FleetConfig.h"

#include <string>

namespace rr {

/// The configuration of InstanceFleet.
FleetConfig instanceFleetConfig();
std::string instanceFleetDocument();

} // namespace rr

#endif // REDWINGRACK_INSTANCE_INSTANCEFLEETCONFIG_H
