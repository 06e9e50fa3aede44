#include "steering/PlacementEligibility.h"

namespace rr {

namespace {

/// Time after a request for which the object is assumed to be cached.
constexpr Clock::duration CacheRetentionTime = std::chrono::seconds(30);
/// Answer bytes whose transfer between regions, or availability zones, costs as
/// much as the target latency; links between regions are more expensive.
constexpr double CrossRegionBytesPerTarget = 115e3;
constexpr double CrossZoneBytesPerTarget = 250e3;

} // namespace

bool isEligible(const PlacementQuery &Query, const BackendState &Server,
                Clock::time_point Now) {
  const BackendRecord &Record = Server.Record;
  if (Server.Removed || Record.Draining || Now < Server.RetryAt)
    return false;
  if (Query.EvacuatedZones && Query.EvacuatedZones->count(Record.Zone))
    return false;
  if (!Query.HomeRegions.empty() && !Query.HomeRegions.count(Server.Region))
    return false;
  if (Query.Version && *Query.Version != Record.Version)
    return false;
  return !Query.TriedServers.count(Record.Id) &&
         !Query.AvoidedVersions.count(Record.Version);
}

bool wasRecentlyUsed(const PlacementQuery &Query, const BackendState &Server,
                     Clock::time_point Now) {
  if (!Query.Object)
    return false;
  const auto Found = Server.ObjectLastUsedAt.find(*Query.Object);
  return Found != Server.ObjectLastUsedAt.end() &&
         Now - Found->second < CacheRetentionTime;
}

Seconds transferCost(const PlacementQuery &Query, const BackendState &Server,
                     const std::string &Zone, const std::string &Region,
                     double AnswerBytes) {
  const Seconds Target = Query.Route->TargetLatency;
  if (Server.Region != Region)
    return Target * AnswerBytes / CrossRegionBytesPerTarget;
  if (Server.Record.Zone != Zone)
    return Target * AnswerBytes / CrossZoneBytesPerTarget;
  return Seconds(0);
}

} // namespace rr
