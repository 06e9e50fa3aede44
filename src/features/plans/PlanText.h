#ifndef REDWINGRACK_PLANS_PLANTEXT_H
#define REDWINGRACK_PLANS_PLANTEXT_H

#include "plans/RollOutVersion.h"

#include <chrono>
#include <string>
#include <vector>

namespace rr {

/// A number without trailing zeros.
std::string formatNumber(double Value);

/// A share of 0 to 1 as a percentage.
std::string formatPercent(double Share);

/// Whole seconds, as in "12 s".
std::string formatSeconds(std::chrono::nanoseconds Time);

/// Names joined by commas, at most eight of them.
std::string joinNames(const std::vector<std::string> &Names);

/// Soak of a rollout that begins at \p Begin.
std::chrono::seconds soakOf(const RollOutVersion &Wish, WallTime Begin);

} // namespace rr

#endif // REDWINGRACK_PLANS_PLANTEXT_H
