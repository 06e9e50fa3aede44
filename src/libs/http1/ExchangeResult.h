#ifndef REDWINGRACK_HTTP1_EXCHANGERESULT_H
#define REDWINGRACK_HTTP1_EXCHANGERESULT_H

#include "base/Clock.h"
#include "http1/HttpMessage.h"

#include <optional>
#include <system_error>

namespace rr {

/// What became of a request that was sent to a server.
struct ExchangeResult {
  /// Set when no complete answer came: Errc::Timeout, Errc::Cancelled,
  /// Errc::ConnectionRefused, Errc::ConnectionLost, Errc::Malformed or
  /// Errc::LimitReached.
  std::error_code Error;
  HttpMessage Response;
  /// False only when no byte of the request can have reached the server.
  bool MayHaveBeenSent = false;
  /// The request went out on a connection that had been used before.
  bool Reused = false;
  /// Time of the TCP handshake, if there was one.
  std::optional<Clock::duration> ConnectTime;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_EXCHANGERESULT_H
