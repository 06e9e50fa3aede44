#ifndef REDWINGRACK_HTTP1_SERVERLIMITS_H
#define REDWINGRACK_HTTP1_SERVERLIMITS_H

#include "base/Clock.h"
#include "http1/ParserLimits.h"

#include <cstddef>

namespace rr {

/// Bounds on the clients of an HttpServer.
struct ServerLimits {
  ParserLimits Message;
  /// From the first byte of a request to its last.
  Clock::duration RequestTimeout = std::chrono::seconds(10);
  /// Without a byte between two requests.
  Clock::duration IdleTimeout = std::chrono::seconds(60);
  /// Without progress of a write to the client.
  Clock::duration WriteTimeout = std::chrono::seconds(10);
  std::size_t MaxConnections = 3000;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_SERVERLIMITS_H
