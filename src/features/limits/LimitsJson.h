#ifndef REDWINGRACK_LIMITS_LIMITSJSON_H
#define REDWINGRACK_LIMITS_LIMITSJSON_H

#include "base/Outcome.h"
#include "limits/DemandReport.h"
#include "limits/ShareAllocation.h"
#include "limits/ShareMove.h"

#include <nlohmann/json.hpp>

namespace rr {

/// Each parse function reads back what its format function wrote, and returns
/// Malformed for anything else; none of them throws.

nlohmann::json formatShareMove(const ShareMove &Move);
Outcome<ShareMove> parseShareMove(const nlohmann::json &Message);

nlohmann::json formatDemandReport(const DemandReport &Report);
Outcome<DemandReport> parseDemandReport(const nlohmann::json &Message);

/// Contents of the row `shares/<epoch>`. Holders are listed once and shares
/// refer to them by position, which keeps the row small.
nlohmann::json formatShareAllocation(const ShareAllocation &Allocation);
/// Also Malformed when checkAllocation() fails.
Outcome<ShareAllocation> parseShareAllocation(const nlohmann::json &Row);

} // namespace rr

#endif // REDWINGRACK_LIMITS_LIMITSJSON_H
