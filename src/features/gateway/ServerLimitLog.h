#ifndef REDWINGRACK_GATEWAY_SERVERLIMITLOG_H
#define REDWINGRACK_GATEWAY_SERVERLIMITLOG_H

#include "steering/BackendState.h"

#include <string>

namespace rr {

/// Logs that a limit of the server began or ended. \p Source is the instance
/// that the server told.
void logServerLimit(const BackendState &Server, const std::string &Source);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_SERVERLIMITLOG_H
