#ifndef REDWINGRACK_FORWARDING_KEYDECISION_H
#define REDWINGRACK_FORWARDING_KEYDECISION_H

#include <string>

namespace rr {

/// Result of authenticating an API key.
struct KeyDecision {
  enum class Kind { Accepted, Unknown, Withdrawn, Stale };

  Kind Result = Kind::Unknown;
  /// Workspace that owns an accepted key.
  std::string Workspace;
};

} // namespace rr

#endif // REDWINGRACK_FORWARDING_KEYDECISION_H
