#ifndef REDWINGRACK_GATEWAY_GATEWAYATTEMPT_H
#define REDWINGRACK_GATEWAY_GATEWAYATTEMPT_H

#include "gateway/Gateway.h"

#include <optional>
#include <set>
#include <string>

namespace rr {

/// One request at one server, with what came of it.
struct Gateway::ServerAttempt {
  Placement Decision;
  AttemptResult Result = AttemptResult::Unreachable;
  ExchangeResult Exchange;
  Clock::duration Time{0};
};

/// What was tried for one request so far.
struct Gateway::RequestProgress {
  std::string Service;
  VersionSteering::Choice VersionChoice;
  std::set<std::string> Tried;
  int Sent = 0;
  int Unreachable = 0;
  bool MayHaveRun = false;
  bool TimedOut = false;
  /// A server's own failure, passed on when nothing better comes.
  std::optional<HttpMessage> ServerFailure;
};

/// \p Time in whole milliseconds, as in headers and log lines.
std::string millisecondText(Clock::duration Time);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_GATEWAYATTEMPT_H
