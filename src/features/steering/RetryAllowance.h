#ifndef REDWINGRACK_STEERING_RETRYALLOWANCE_H
#define REDWINGRACK_STEERING_RETRYALLOWANCE_H

namespace rr {

class MemberView;
class RetryBudget;

/// Fleet-wide limit of retries.
struct RetryAllowance {
  /// Retries as a fraction of the requests.
  double Ratio = 0;
  /// Further retries per window.
  double ExtraRetries = 0;
};

/// Sets the budget to this instance's share of the allowance. Called before
/// each use, since the share changes with the number of instances.
void applyRetryAllowance(RetryBudget &Budget, const RetryAllowance &Allowance,
                         const MemberView &Members);

} // namespace rr

#endif // REDWINGRACK_STEERING_RETRYALLOWANCE_H
