#ifndef REDWINGRACK_LIMITS_LIMITSJSON_H
#define REDWINGRACK_LIMITS_LIMITSJSON_H

#include "base/Outcome.h"
#include "limits/DemandReport.h"
#include "limits/ShareAllocation.h"
#include "limits/ShareMove.h"

#include <nlohmann/json.hpp>

namespace rr {

/// Each parse function is the inverse of its format function. It returns
/// Malformed for any other input and does not throw.

nlohmann::json formatShareMove(const ShareMove &Move);
Outcome<ShareMove> parseShareMove(const nlohmann::json &Message);

nlohmann::json formatDemandReport(const DemandReport &Report);
Outcome<DemandReport> parseDemandReport(const nlohmann::json &Message);

/// Formats the row `shares/<epoch>`. Holders are listed once and shares refer
/// to them by index, which keeps the row small.
nlohmann::json formatShareAllocation(const ShareAllocation &Allocation);
/// Also returns Malformed if checkAllocation() fails.
Outcome<ShareAllocation> parseShareAllocation(const nlohmann::json &Row);

} // namespace rr

#endif // REDWINGRACK_LIMITS_LIMITSJSON_H
