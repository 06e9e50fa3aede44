#ifndef REDWINGRACK_CONFIGURATION_CONTROLHEAD_H
#define REDWINGRACK_CONFIGURATION_CONTROLHEAD_H

#include "base/Outcome.h"
#include "membership/ControlVersions.h"

#include <string>

namespace rr {

/// Contents of the row `control/head`.
struct ControlHead {
  ControlVersions Versions;
  /// Object that holds the configuration, and its SHA-256; both empty while
  /// there is no configuration.
  std::string ConfigObject;
  std::string ConfigHash;

  bool operator==(const ControlHead &) const = default;
};

std::string formatControlHead(const ControlHead &Head);
Outcome<ControlHead> parseControlHead(const std::string &Text);

} // namespace rr

#endif // REDWINGRACK_CONFIGURATION_CONTROLHEAD_H
