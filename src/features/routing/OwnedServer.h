#ifndef REDWINGRACK_ROUTING_OWNEDSERVER_H
#define REDWINGRACK_ROUTING_OWNEDSERVER_H

#include "base/Clock.h"

#include <string>

namespace rr {

/// Ownership of one backend server as one instance sees it.
struct OwnedServer {
  std::string Server;
  std::string Zone;
  std::string Region;
  /// Winner of the rendezvous; empty when no instance can own the server.
  std::string Owner;
  /// Last owner before the present one that may still send; empty when the
  /// hand-over is complete.
  std::string Previous;
  /// End of the wait for Previous.
  Clock::time_point WaitUntil{};
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_OWNEDSERVER_H
