#ifndef REDWINGRACK_FORWARDING_DISPATCHRESULT_H
#define REDWINGRACK_FORWARDING_DISPATCHRESULT_H

#include "base/HttpHeader.h"
#include "forwarding/Execution.h"

#include <chrono>
#include <string>

namespace rr {

/// What became of one attempt.
struct DispatchResult {
  /// False when no whole answer came; Outcome then says what is certain.
  bool Answered = false;
  int Status = 0;
  HttpHeaders Headers;
  std::string Body;

  Execution Outcome = Execution::NotRun;
  /// Stable code of a refusal.
  std::string Reason;
  std::chrono::seconds RetryAfter{0};
  /// Empty when no server was chosen.
  std::string Server;
  std::string Version;
  /// The connection ended without an answer, as when a server crashes.
  bool ConnectionEnded = false;
};

} // namespace rr

#endif // REDWINGRACK_FORWARDING_DISPATCHRESULT_H
