#ifndef REDWINGRACK_CONFIGURATION_CONTROLHEAD_H
#define REDWINGRACK_CONFIGURATION_CONTROLHEAD_H

#include "base/Outcome.h"
#include "membership/ControlVersions.h"

#include <string>

namespace rr {

/// Contents of the row `control/head`, which holds the current versions of the
/// control state.
struct ControlHead {
  ControlVersions Versions;
  /// Name of the object that holds the configuration, and the SHA-256 of its
  /// contents; both empty while there is no configuration.
  std::string ConfigObject;
  std::string ConfigHash;

  bool operator==(const ControlHead &) const = default;
};

std::string formatControlHead(const ControlHead &Head);
/// Errc::Malformed if a member is missing or invalid.
Outcome<ControlHead> parseControlHead(const std::string &Text);

} // namespace rr

#endif // REDWINGRACK_CONFIGURATION_CONTROLHEAD_H
