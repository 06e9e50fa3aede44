#ifndef REDWINGRACK_PLANS_PLANFORECAST_H
#define REDWINGRACK_PLANS_PLANFORECAST_H

#include "plans/RegionForecast.h"

#include <vector>

namespace rr {

struct Plan;
struct PlanInputs;

/// Load of each region before and after the plan, from the measured loads.
std::vector<RegionForecast> forecast(const Plan &Current,
                                     const PlanInputs &Inputs);

} // namespace rr

#endif // REDWINGRACK_PLANS_PLANFORECAST_H
