#ifndef REDWINGRACK_PLANS_PLANJSON_H
#define REDWINGRACK_PLANS_PLANJSON_H

#include "base/Outcome.h"
#include "plans/Plan.h"

#include <nlohmann/json.hpp>
#include <string>

namespace rr {

/// The plan as the administration API shows it and as its row keeps it.
nlohmann::json formatPlan(const Plan &Current);

/// Errc::Malformed for a row that formatPlan() did not write.
Outcome<Plan> parsePlan(const std::string &Text);

} // namespace rr

#endif // REDWINGRACK_PLANS_PLANJSON_H
