#ifndef REDWINGRACK_APP_QUERYCOMMANDS_H
#define REDWINGRACK_APP_QUERYCOMMANDS_H

#include "app/CommandLine.h"

namespace rr {

/// Checks a settings file or, when its name ends in .fleet.toml or .json, a
/// fleet configuration.
int runCheckConfig(const Arguments &Args);
/// Asks an instance which entry instances a client should use.
int runLookup(const Arguments &Args);
/// Prints what the administration API has at a path.
int runRead(const Arguments &Args, const std::string &Path);
int runKeyReport(const Arguments &Args);

} // namespace rr

#endif // REDWINGRACK_APP_QUERYCOMMANDS_H
