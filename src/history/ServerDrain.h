#ifndef REDWINGRACK_HISTORY_SERVERDRAIN_H
#define REDWINGRACK_HISTORY_SERVERDRAIN_H

#include "base/Clock.h"

#include <string>

namespace rr::history {

/// An operator asked for the drain of a backend server, or ended it.
struct ServerDrain {
  Clock::time_point At;
  std::string Server;
  /// False when the server may get work again.
  bool Draining = true;
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_SERVERDRAIN_H
