#ifndef REDWINGRACK_KEYS_AUTHENTICATION_H
#define REDWINGRACK_KEYS_AUTHENTICATION_H

#include "base/Clock.h"

#include <string>
#include <string_view>

namespace rr {

class KeySet;

/// State of the freshness proof at the moment of a decision.
struct Freshness {
  Clock::time_point Now;
  /// FreshnessTracker::validUntil().
  Clock::time_point ValidUntil;
};

struct Authentication {
  enum class Verdict {
    Accepted,
    UnknownKey,
    Withdrawn,
    /// Nothing is known about the present state of the key.
    StaleView,
  };

  Verdict Result = Verdict::StaleView;
  /// Set when the key is accepted.
  std::string Workspace;
};

/// Decides on a presented key. To be asked at admission and again when a
/// queued request is dispatched.
Authentication authenticate(const KeySet &Keys, std::string_view Presented,
                            const Freshness &Proof);

} // namespace rr

#endif // REDWINGRACK_KEYS_AUTHENTICATION_H
