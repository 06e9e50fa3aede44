#ifndef REDWINGRACK_PLANS_PLANANSWER_H
#define REDWINGRACK_PLANS_PLANANSWER_H

#include "plans/Plan.h"

#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace rr {

/// Answer to an operator.
struct PlanAnswer {
  /// Not set when the request was carried out. Errc::Conflict when something
  /// else came first, Errc::Unknown when the store cannot tell.
  std::error_code Error;
  /// The plan as it is now, as far as it is known.
  std::optional<Plan> Current;
  /// Why it was not carried out, for example what has changed meanwhile.
  std::vector<std::string> Reasons;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_PLANANSWER_H
