#include "steering/RetryAllowance.h"

#include "retry/RetryBudget.h"
#include "steering/MemberView.h"

#include <algorithm>
#include <cstdint>

namespace rr {

namespace {

/// Used fraction of the allowance; the rest covers instances that count the
/// fleet differently.
constexpr double UsableFraction = 0.7;

} // namespace

void applyRetryAllowance(RetryBudget &Budget, const RetryAllowance &Allowance,
                         const MemberView &Members) {
  const double Holders = double(Members.shareHolderCount());
  Budget.setLimits(
      static_cast<std::uint32_t>(100 * UsableFraction * Allowance.Ratio),
      static_cast<std::uint32_t>(
          std::max(1.0, UsableFraction * Allowance.ExtraRetries / Holders)));
}

} // namespace rr
