#ifndef REDWINGRACK_GATEWAY_GATEWAYATTEMPT_H
#define REDWINGRACK_GATEWAY_GATEWAYATTEMPT_H

#include "gateway/Gateway.h"

#include <optional>
#include <set>
#include <string>

namespace rr {

/// One attempt to run a request on one server, with its result.
struct Gateway::ServerAttempt {
  Placement Decision;
  AttemptResult Result = AttemptResult::Unreachable;
  ExchangeResult Exchange;
  Clock::duration Time{0};
};

/// State of one request across its attempts.
struct Gateway::RequestProgress {
  std::string Service;
  VersionSteering::Choice VersionChoice;
  /// Ids of the servers that were tried.
  std::set<std::string> Tried;
  /// Attempts that were sent to a server.
  int Sent = 0;
  /// Attempts whose connection failed.
  int Unreachable = 0;
  bool MayHaveRun = false;
  bool TimedOut = false;
  /// The time of the request ended before an attempt was sent.
  bool Expired = false;
  /// This instance had no connection left for an attempt.
  bool NoConnection = false;
  /// Last 5xx answer of a server; returned if no attempt succeeds.
  std::optional<HttpMessage> ServerFailure;
};

/// Whether a server reported a failure of its own.
bool isServerError(const HttpMessage &Answer);

/// \p Time in whole milliseconds, for headers and log fields.
std::string millisecondText(Clock::duration Time);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_GATEWAYATTEMPT_H
