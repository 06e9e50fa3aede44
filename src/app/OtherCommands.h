#ifndef REDWINGRACK_APP_OTHERCOMMANDS_H
#define REDWINGRACK_APP_OTHERCOMMANDS_H

#include "app/CommandLine.h"

namespace rr {

/// Checks a settings file or, when its name ends in .fleet.toml or .json, a
/// fleet configuration.
int runCheckConfig(const Arguments &Given);
/// Asks an instance which entry instances a client should use.
int runLookup(const Arguments &Given);
/// Prints what the administration API has at a path.
int runRead(const Arguments &Given, const std::string &Path);
int runKeyReport(const Arguments &Given);

} // namespace rr

#endif // REDWINGRACK_APP_OTHERCOMMANDS_H
