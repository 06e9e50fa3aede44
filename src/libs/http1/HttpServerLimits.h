#ifndef REDWINGRACK_HTTP1_HTTPSERVERLIMITS_H
#define REDWINGRACK_HTTP1_HTTPSERVERLIMITS_H

#include "base/Clock.h"
#include "http1/ParserLimits.h"

#include <cstddef>
#include <limits>

namespace rr {

/// Limits that an HttpServer imposes on its clients.
struct HttpServerLimits {
  ParserLimits Message;
  /// From the first byte of a request to its last byte.
  Clock::duration RequestTimeout = std::chrono::seconds(10);
  /// Between two requests of a connection.
  Clock::duration IdleTimeout = std::chrono::seconds(60);
  /// For writing one response to the client.
  Clock::duration WriteTimeout = std::chrono::seconds(10);
  /// See also HttpServer::setBudget().
  std::size_t MaxConnections = std::numeric_limits<std::size_t>::max();
  /// Connections beyond MaxConnections that are answered with 503 at the same
  /// time. Further ones are closed without an answer.
  std::size_t MaxRefusals = 200;
  /// Time for the head of a request that will be refused; several round trips.
  Clock::duration RefusalTimeout = std::chrono::seconds(1);
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_HTTPSERVERLIMITS_H
