#ifndef REDWINGRACK_HTTP1_SERVERLIMITS_H
#define REDWINGRACK_HTTP1_SERVERLIMITS_H

#include "base/Clock.h"
#include "http1/ParserLimits.h"

#include <cstddef>

namespace rr {

/// Limits that an HttpServer imposes on its clients.
struct ServerLimits {
  ParserLimits Message;
  /// From the first byte of a request to its last byte.
  Clock::duration RequestTimeout = std::chrono::seconds(10);
  /// Between two requests of a connection.
  Clock::duration IdleTimeout = std::chrono::seconds(60);
  /// For writing one response to the client.
  Clock::duration WriteTimeout = std::chrono::seconds(10);
  std::size_t MaxConnections = 3000;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_SERVERLIMITS_H
