#ifndef REDWINGRACK_FORWARDING_KEYDECISION_H
#define REDWINGRACK_FORWARDING_KEYDECISION_H

#include <string>

namespace rr {

/// Whether a presented key is accepted.
struct KeyDecision {
  enum class Kind { Accepted, Unknown, Withdrawn, Stale };

  Kind Result = Kind::Unknown;
  /// Owner of an accepted key.
  std::string Workspace;
};

} // namespace rr

#endif // REDWINGRACK_FORWARDING_KEYDECISION_H
