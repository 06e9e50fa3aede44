#ifndef REDWINGRACK_FORWARDING_EXECUTION_H
#define REDWINGRACK_FORWARDING_EXECUTION_H

namespace rr {

/// Whether a request without a response was executed.
enum class Execution {
  /// No backend server has executed it or will.
  NotRun,
  /// A backend server may have executed it.
  Unknown,
};

/// Returns "not_run" or "unknown".
const char *executionName(Execution Value);

} // namespace rr

#endif // REDWINGRACK_FORWARDING_EXECUTION_H
