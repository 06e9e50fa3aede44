#ifndef REDWINGRACK_APP_QUERYCOMMANDS_H
#define REDWINGRACK_APP_QUERYCOMMANDS_H

#include "app/CommandLine.h"

namespace rr {

/// `check-config`: checks a gateway settings file (.steer.toml), a fleet
/// configuration (.fleet.toml, .json) or an instance settings file (any other
/// name).
int runCheckConfig(const Arguments &Args);
/// `lookup`: queries an instance for the entry instances that a client should
/// use.
int runLookup(const Arguments &Args);
/// Prints the resource of the administration API at \p Path.
int runRead(const Arguments &Args, const std::string &Path);
int runKeyReport(const Arguments &Args);

} // namespace rr

#endif // REDWINGRACK_APP_QUERYCOMMANDS_H
