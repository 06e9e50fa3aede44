#ifndef REDWINGRACK_APP_SERVE_H
#define REDWINGRACK_APP_SERVE_H

#include "app/CommandLine.h"

namespace rr {

/// `serve`: runs an instance until SIGTERM or SIGINT.
int runServe(const Arguments &Args);

} // namespace rr

#endif // REDWINGRACK_APP_SERVE_H
