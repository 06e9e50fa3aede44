#ifndef REDWINGRACK_PLANS_PLANEDITS_H
#define REDWINGRACK_PLANS_PLANEDITS_H

#include <string>

namespace rr {

struct FleetConfig;
struct Plan;

/// Writes into \p Config what an immediate plan asks for. Plans about keys and
/// instances change nothing there.
void applyIntent(FleetConfig &Config, const Plan &Current);

/// Sets the share of a stepwise plan.
void applyShare(FleetConfig &Config, const Plan &Current, double Share);

/// Share that the configuration has now for what the plan moves.
double shareIn(const FleetConfig &Config, const Plan &Current);

/// Makes the new version of a rollout the only one.
void completeRollout(FleetConfig &Config, const Plan &Current);

/// Whether two configurations say the same about a target of a plan.
bool agreeOn(const FleetConfig &Left, const FleetConfig &Right,
             const std::string &Target);

} // namespace rr

#endif // REDWINGRACK_PLANS_PLANEDITS_H
