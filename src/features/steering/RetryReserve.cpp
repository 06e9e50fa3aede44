#include "steering/RetryReserve.h"

#include "retry/RetryBudget.h"
#include "steering/MemberView.h"

#include <algorithm>
#include <cstdint>

namespace rr {

namespace {

/// Used part of the allowance; the rest is for differences in counting.
constexpr double UsedPart = 0.7;

} // namespace

void applyRetryReserve(RetryBudget &Budget, const RetryAllowance &Allowance,
                       const MemberView &Members) {
  const double Holders = double(Members.holders());
  Budget.setLimits(static_cast<std::uint32_t>(100 * UsedPart * Allowance.Ratio),
                   static_cast<std::uint32_t>(
                       std::max(1.0, UsedPart * Allowance.Extra / Holders)));
}

} // namespace rr
