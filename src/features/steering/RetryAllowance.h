#ifndef REDWINGRACK_STEERING_RETRYALLOWANCE_H
#define REDWINGRACK_STEERING_RETRYALLOWANCE_H

namespace rr {

class MemberView;
class RetryBudget;

/// Retries that all instances together may make.
struct RetryAllowance {
  /// Part of the requests.
  double Ratio = 0;
  /// Beyond that part, in one window.
  double ExtraRetries = 0;
};

/// Gives an instance its part of the fleet's allowance. Applied before each
/// use, since the part changes as instances come and go.
void applyRetryAllowance(RetryBudget &Budget, const RetryAllowance &Allowance,
                         const MemberView &Members);

} // namespace rr

#endif // REDWINGRACK_STEERING_RETRYALLOWANCE_H
