#ifndef REDWINGRACK_FORWARDING_EXECUTION_H
#define REDWINGRACK_FORWARDING_EXECUTION_H

namespace rr {

/// What is certain about a request that has no answer.
enum class Execution {
  /// No backend server has run it or will.
  NotRun,
  /// A backend server may have run it.
  Unknown,
};

/// "not_run" or "unknown".
const char *executionName(Execution Value);

} // namespace rr

#endif // REDWINGRACK_FORWARDING_EXECUTION_H
