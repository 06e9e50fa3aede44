#include "steering/ObjectHomes.h"

#include "steering/StableHash.h"

#include <algorithm>
#include <map>

namespace rr {

namespace {

/// Minimum number of servers in a region with a next home, relative to the
/// average region.
constexpr double MinRegionSizeRatio = 0.8;

struct RegionRank {
  const BackendState *First = nullptr;
  const BackendState *Second = nullptr;
  std::uint64_t FirstScore = 0;
  std::uint64_t SecondScore = 0;
  int Servers = 0;

  void add(const BackendState *Server, std::uint64_t Score) {
    ++this->Servers;
    if (!this->First || Score > this->FirstScore) {
      this->Second = this->First;
      this->SecondScore = this->FirstScore;
      this->First = Server;
      this->FirstScore = Score;
    } else if (!this->Second || Score > this->SecondScore) {
      this->Second = Server;
      this->SecondScore = Score;
    }
  }
};

/// Excludes servers that are unavailable for long, but not those avoided
/// temporarily, so that homes rarely change.
bool isHomeCandidate(const PlacementQuery &Query, const BackendState &Server) {
  const BackendRecord &Record = Server.Record;
  return !Record.Draining && !Query.AvoidedVersions.count(Record.Version) &&
         (!Query.Version || *Query.Version == Record.Version) &&
         (!Query.EvacuatedZones || !Query.EvacuatedZones->count(Record.Zone));
}

bool isLimited(const BackendState &Server) {
  return Server.Limit.RequestsPerSecond.has_value();
}

} // namespace

ObjectHomes::ObjectHomes(const PlacementQuery &Query, const std::string &Region,
                         const std::vector<BackendPtr> &Servers) {
  if (!Query.Object)
    return;
  std::map<std::string, RegionRank> Ranks;
  // A server that named a limit takes too few requests to keep objects in its
  // cache, unless all have named one.
  const bool SkipLimited = std::any_of(
      Servers.begin(), Servers.end(), [&](const BackendPtr &Server) {
        return !isLimited(*Server) && isHomeCandidate(Query, *Server);
      });
  int Total = 0;
  for (const BackendPtr &Server : Servers) {
    if (!isHomeCandidate(Query, *Server) || (SkipLimited && isLimited(*Server)))
      continue;
    ++Total;
    Ranks[Server->Region].add(Server.get(),
                              mixHashes(*Query.Object, Server->Hash));
  }
  for (const auto &[Name, Rank] : Ranks) {
    const bool IsLarge =
        Rank.Servers * double(Ranks.size()) >= MinRegionSizeRatio * Total;
    if (Name == Region)
      this->Home = Rank.First;
    const BackendState *Other = Name == Region ? Rank.Second : Rank.First;
    if (IsLarge && Other)
      this->NextHomes.push_back(Other);
  }
}

CacheAffinity ObjectHomes::affinityOf(const BackendState &Server,
                                      bool Used) const {
  if (&Server == this->Home)
    return Used ? CacheAffinity::HomeUsed : CacheAffinity::Home;
  if (std::find(this->NextHomes.begin(), this->NextHomes.end(), &Server) !=
      this->NextHomes.end())
    return Used ? CacheAffinity::NextHomeUsed : CacheAffinity::NextHome;
  return Used ? CacheAffinity::OtherUsed : CacheAffinity::Other;
}

} // namespace rr
