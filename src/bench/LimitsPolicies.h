#ifndef REDWINGRACK_BENCH_LIMITSPOLICIES_H
#define REDWINGRACK_BENCH_LIMITSPOLICIES_H

#include "bench/LimitsScenario.h"

namespace rr {

/// Conserved shares. Prints a line, or the wrongful refusals of each second
/// with \p BySecond; returns the requests admitted above the allowance.
std::uint64_t runShares(const LimitsScenario &Scenario, bool BySecond);

/// Each instance has a twelfth of rate and burst, for ever.
void runEqualShares(const LimitsScenario &Scenario);

/// Each request asks one bucket in the store's region.
void runCentralCounter(const LimitsScenario &Scenario);

/// Prints how long shares take to follow when the whole demand of a workspace
/// moves to an instance in another region.
void runFollowing(const LimitsScenario &Scenario);

} // namespace rr

#endif // REDWINGRACK_BENCH_LIMITSPOLICIES_H
