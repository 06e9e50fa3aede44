#ifndef REDWINGRACK_HTTP1_EXCHANGERESULT_H
#define REDWINGRACK_HTTP1_EXCHANGERESULT_H

#include "base/Clock.h"
#include "http1/HttpMessage.h"
#include "http1/MessageFault.h"

#include <optional>
#include <system_error>

namespace rr {

/// Result of one request to a server.
struct ExchangeResult {
  /// Set when no complete response was received: Errc::Timeout,
  /// Errc::Cancelled, Errc::ConnectionRefused, Errc::ConnectionLost,
  /// Errc::Malformed, or Errc::LimitReached if there is no connection or no
  /// memory left for the exchange.
  std::error_code Error;
  /// What is wrong with the bytes that the server sent, with Errc::Malformed.
  MessageFault Fault = MessageFault::None;
  HttpMessage Response;
  /// False only when it is certain that the server received no byte of the
  /// request, which makes a retry safe.
  bool MayHaveBeenSent = false;
  /// The request was sent on a pooled connection.
  bool Reused = false;
  /// Duration of the TCP handshake; empty for a reused connection.
  std::optional<Clock::duration> ConnectTime;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_EXCHANGERESULT_H
