#ifndef REDWINGRACK_HISTORY_CALLERSENT_H
#define REDWINGRACK_HISTORY_CALLERSENT_H

#include "base/Clock.h"

#include <string>

namespace rr::history {

/// A caller sent a request; recorded before its first byte leaves.
struct CallerSent {
  Clock::time_point At;
  /// Unique in the history; a caller that sends again uses a new one.
  std::string RequestId;
  std::string Service;
  /// Workspace that the key was issued for; empty on open routes.
  std::string Workspace;
  /// Empty on open routes.
  std::string KeyId;
  std::string EntryInstance;
  std::string EntryRegion;
  /// Empty when the request carries none.
  std::string IdempotencyKey;
  bool Idempotent = true;
  bool OpenRoute = false;
  /// Digest of the only body that answers this request.
  std::string ExpectedDigest;
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_CALLERSENT_H
