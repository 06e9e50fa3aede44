#ifndef REDWINGRACK_APP_EXITCODE_H
#define REDWINGRACK_APP_EXITCODE_H

namespace rr {

/// Exit codes of the program.
enum ExitCode : int {
  ExitSuccess = 0,
  /// The request was refused or failed.
  ExitFailure = 1,
  ExitWrongUsage = 2,
};

} // namespace rr

#endif // REDWINGRACK_APP_EXITCODE_H
