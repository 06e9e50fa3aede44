#ifndef REDWINGRACK_INSTANCE_INSTANCEREPORT_H
#define REDWINGRACK_INSTANCE_INSTANCEREPORT_H

#include "base/Clock.h"
#include "base/Outcome.h"
#include "limits/DemandReport.h"
#include "plans/VersionReport.h"
#include "routing/Overflow.h"
#include "routing/ServiceHeadroom.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace rr {

/// What an instance tells the others about itself once a second.
struct InstanceReport {
  DemandReport Demand;
  std::vector<ServiceHeadroom> Headroom;
  /// By service; only services with a rollout.
  std::map<std::string, VersionStats> Versions;
  /// Requests that run on draining servers that this instance owns.
  std::map<std::string, std::uint64_t> Outstanding;
  /// Requests a second, by service, that would go to another region.
  std::vector<Overflow> Overflows;

  /// When the report was made, by the clock of this process.
  Clock::time_point MadeAt;
};

nlohmann::json encodeReport(const InstanceReport &Report,
                            Clock::time_point Now);
Outcome<InstanceReport> decodeReport(const nlohmann::json &Body,
                                     Clock::time_point Now);

} // namespace rr

#endif // REDWINGRACK_INSTANCE_INSTANCEREPORT_H
