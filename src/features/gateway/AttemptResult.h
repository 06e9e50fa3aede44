#ifndef REDWINGRACK_GATEWAY_ATTEMPTRESULT_H
#define REDWINGRACK_GATEWAY_ATTEMPTRESULT_H

#include "base/Outcome.h"
#include "gateway/GatewayHeaders.h"
#include "http1/ExchangeResult.h"
#include "steering/LoadSample.h"

#include <optional>

namespace rr {

/// Outcome of one attempt to run a request on a backend server.
enum class AttemptResult {
  /// The server answered itself, with any status.
  Answered,
  /// The connection failed before any byte of the request was sent.
  Unreachable,
  /// The server reported that it did not run the request.
  NotRun,
  /// A different server answered at the address (421).
  WrongServer,
  /// The request may have run; no usable answer was received.
  Failed,
  /// The request may have run; no answer was received before the deadline.
  TimedOut,
  /// This instance has no connection left for the attempt; nothing was sent.
  NoConnection,
  /// The time of the request ended before anything was sent.
  Expired,
  /// The caller closed its connection.
  Cancelled,
};

/// Classifies \p Result. An answer that does not name the request, if
/// \p RequestId is not empty, and a successful one without the server stamp or
/// with a content encoding, count as Failed.
AttemptResult classifyAttempt(const ExchangeResult &Result,
                              const std::string &RequestId,
                              const GatewayHeaders &Names);

/// Name of \p Result in log fields and metric labels.
const char *attemptResultName(AttemptResult Result);

/// The load that \p Answer reports; empty if the header is missing or
/// malformed. A fourth figure that makes no sense is left out.
std::optional<LoadSample> reportedLoad(const HttpMessage &Answer,
                                       const GatewayHeaders &Names);

/// Whether the load in \p Answer has a fourth figure, also one that makes no
/// sense.
bool hasWorkFactor(const HttpMessage &Answer, const GatewayHeaders &Names);

/// The limit that \p Answer names, in requests per second; empty if it names
/// none. Errc::Malformed unless it is a number of at least 0.
Outcome<std::optional<double>> reportedLimit(const HttpMessage &Answer,
                                             const GatewayHeaders &Names);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_ATTEMPTRESULT_H
