#ifndef REDWINGRACK_APP_SERVE_H
#define REDWINGRACK_APP_SERVE_H

#include "app/CommandLine.h"

namespace rr {

/// Runs an instance until SIGTERM or SIGINT has stopped it.
int runServe(const Arguments &Args);

} // namespace rr

#endif // REDWINGRACK_APP_SERVE_H
