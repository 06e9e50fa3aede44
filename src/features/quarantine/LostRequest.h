#ifndef REDWINGRACK_QUARANTINE_LOSTREQUEST_H
#define REDWINGRACK_QUARANTINE_LOSTREQUEST_H

#include "base/Clock.h"

#include <string>

namespace rr {

/// A request whose connection to a server ended without an answer.
struct LostRequest {
  /// As the caller sent it.
  std::string Id;
  /// See requestFingerprint().
  std::string Fingerprint;
  Clock::time_point SentAt{};
  Clock::time_point LostAt{};
};

} // namespace rr

#endif // REDWINGRACK_QUARANTINE_LOSTREQUEST_H
