#ifndef REDWINGRACK_HISTORY_SERVERBEGAN_H
#define REDWINGRACK_HISTORY_SERVERBEGAN_H

#include "base/Clock.h"

#include <string>

namespace rr::history {

/// A backend server began to run a request.
struct ServerBegan {
  Clock::time_point At;
  std::string RequestId;
  std::string Server;
  std::string Service;
  std::string Version;
  std::string EntryRegion;
  std::string ServerRegion;
  /// Workspace that the request names at the server; empty on open routes.
  std::string WorkspaceSeen;
  /// Whether the text of any issued key was anywhere in the request.
  bool KeySeen = false;
  /// Requests that run on the server, with this one.
  unsigned Outstanding = 0;
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_SERVERBEGAN_H
