#ifndef REDWINGRACK_QUARANTINE_CRASHOBSERVATION_H
#define REDWINGRACK_QUARANTINE_CRASHOBSERVATION_H

#include "base/Clock.h"

#include <string>

namespace rr {

/// A request that was lost when the server that ran it crashed.
struct CrashObservation {
  /// See requestFingerprint().
  std::string Fingerprint;
  /// Identifies one run of a server, the same at all instances.
  std::string ServerRun;
  /// When the request was sent and lost, on the store's clock.
  Clock::duration SentAt{0};
  Clock::duration LostAt{0};
};

} // namespace rr

#endif // REDWINGRACK_QUARANTINE_CRASHOBSERVATION_H
