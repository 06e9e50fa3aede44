#ifndef REDWINGRACK_HISTORY_SERVERENDED_H
#define REDWINGRACK_HISTORY_SERVERENDED_H

#include "base/Clock.h"

#include <string>

namespace rr::history {

/// A backend server ended a request, or died with it.
struct ServerEnded {
  Clock::time_point At;
  std::string RequestId;
  std::string Server;
  /// Requests that run on the server, without this one.
  unsigned Outstanding = 0;
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_SERVERENDED_H
