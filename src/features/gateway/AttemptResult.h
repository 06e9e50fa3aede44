#ifndef REDWINGRACK_GATEWAY_ATTEMPTRESULT_H
#define REDWINGRACK_GATEWAY_ATTEMPTRESULT_H

#include "gateway/GatewayHeaders.h"
#include "http1/ExchangeResult.h"
#include "steering/LoadSample.h"

#include <optional>

namespace rr {

/// What an attempt at a backend server came to.
enum class AttemptResult {
  /// The server's own answer, whatever its status.
  Answered,
  /// No connection: no byte of the request has left.
  Unreachable,
  /// The server says that it did not run the request.
  NotRun,
  /// Another server has the address.
  WrongServer,
  /// It may have run; there is no usable answer.
  Failed,
  /// It may have run; no answer came in time.
  TimedOut,
  /// The caller has left.
  Cancelled,
};

AttemptResult classifyAttempt(const ExchangeResult &Result,
                              const GatewayHeaders &Names);

/// Name for logs.
const char *attemptResultName(AttemptResult Result);

/// The load that an answer reports; empty when it has none or a malformed one.
std::optional<LoadSample> reportedLoad(const HttpMessage &Answer,
                                       const GatewayHeaders &Names);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_ATTEMPTRESULT_H
