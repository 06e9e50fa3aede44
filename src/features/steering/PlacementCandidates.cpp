#include "steering/PlacementCandidates.h"

#include "steering/PlacementEligibility.h"

#include <algorithm>
#include <span>

namespace rr {

namespace {

/// Draws for each wanted server; with half of the servers not eligible, 4 draws
/// miss in 6% of the cases.
constexpr std::size_t DrawsPerServer = 4;
constexpr Clock::duration ScanInterval = std::chrono::milliseconds(100);
/// Lists up to this length are always scanned.
constexpr std::size_t ShortList = 32;

bool isLimited(const BackendState &Server) {
  return Server.Limit.RequestsPerSecond.has_value();
}

CacheAffinity used(CacheAffinity Affinity, bool Used) {
  if (!Used)
    return Affinity;
  switch (Affinity) {
  case CacheAffinity::Home:
    return CacheAffinity::HomeUsed;
  case CacheAffinity::NextHome:
    return CacheAffinity::NextHomeUsed;
  default:
    return CacheAffinity::OtherUsed;
  }
}

/// Calls \p Visit with the home servers and their affinity, the best first. It
/// returns whether the server counts; one that does not is replaced by the
/// next. A server that named a limit takes too few requests to keep objects in
/// its cache, unless all homes have named one.
template <typename Function>
void visitHomes(ServerList &Servers, std::uint64_t Object, std::size_t OwnHomes,
                const Function &Visit) {
  const HomeServers &Homes = Servers.homes(Object);
  const auto Own = std::span(Homes.Own).first(Homes.OwnCount);
  const bool SkipLimited =
      std::any_of(Own.begin(), Own.end(), [&](HomeServers::Place Place) {
        return !isLimited(*Servers.servers()[Place]);
      });
  CacheAffinity Affinity = CacheAffinity::Home;
  std::size_t Count = 0;
  for (const HomeServers::Place Place : Own) {
    const BackendPtr &Server = Servers.servers()[Place];
    if (Count == OwnHomes || (SkipLimited && isLimited(*Server)))
      continue;
    Count += Visit(Server, Affinity);
    Affinity = CacheAffinity::NextHome;
  }
  for (const HomeServers::Place Place :
       std::span(Homes.Other).first(Homes.OtherCount))
    if (const BackendPtr &Server = Servers.servers()[Place];
        !isLimited(*Server))
      Visit(Server, CacheAffinity::NextHome);
}

} // namespace

bool PlacementCandidates::add(const BackendPtr &Server,
                              CacheAffinity Affinity) {
  if (this->Count == MaxCandidates ||
      !isEligible(this->Query, *Server, this->Now))
    return false;
  for (std::size_t Index = 0; Index < this->Count; ++Index)
    if (this->Items[Index].Server->get() == Server.get())
      return false;
  const bool Used = wasRecentlyUsed(this->Query, *Server, this->Now);
  this->Items[this->Count++] = {&Server, used(Affinity, Used)};
  return true;
}

void PlacementCandidates::addHomes(std::size_t OwnHomes) {
  if (usesCache(this->Query))
    visitHomes(this->Servers, *this->Query.Object, OwnHomes,
               [&](const BackendPtr &Server, CacheAffinity Affinity) {
                 return this->add(Server, Affinity);
               });
}

bool PlacementCandidates::isHome(std::size_t Place) const {
  if (!usesCache(this->Query))
    return false;
  const HomeServers &Homes = this->Servers.homes(*this->Query.Object);
  const auto Own = std::span(Homes.Own).first(Homes.OwnCount);
  const auto Other = std::span(Homes.Other).first(Homes.OtherCount);
  return std::find(Own.begin(), Own.end(), Place) != Own.end() ||
         std::find(Other.begin(), Other.end(), Place) != Other.end();
}

void PlacementCandidates::addRandom(std::size_t Wanted, bool OwnRegion,
                                    RandomEngine &Random) {
  const auto IsUsable = [&](const ServerList::Region &Region) {
    return (!OwnRegion || &Region == this->Servers.own()) &&
           (this->Query.BlockedRegions.empty() ||
            !this->Query.BlockedRegions.count(Region.Name));
  };
  std::size_t Total = 0;
  for (const ServerList::Region &Region : this->Servers.regions())
    Total += IsUsable(Region) ? Region.Count : 0;
  if (Total == 0)
    return;
  const std::size_t Draws = Wanted * DrawsPerServer;
  for (std::size_t Draw = 0; Draw < Draws && Wanted > 0; ++Draw) {
    std::size_t Offset = Random() % Total;
    for (const ServerList::Region &Region : this->Servers.regions()) {
      if (!IsUsable(Region))
        continue;
      if (Offset < Region.Count) {
        const std::size_t Place = Region.First + Offset;
        Wanted -= this->add(this->Servers.servers()[Place],
                            this->isHome(Place) ? CacheAffinity::NextHome
                                                : CacheAffinity::Other);
        break;
      }
      Offset -= Region.Count;
    }
  }
}

void PlacementCandidates::addByScan(RandomEngine &Random) {
  const std::vector<BackendPtr> &All = this->Servers.servers();
  if (All.empty() ||
      (All.size() > ShortList && this->Now < this->Servers.NextScanAt))
    return;
  this->Servers.NextScanAt = this->Now + ScanInterval;
  const std::size_t First = Random() % All.size();
  for (std::size_t Offset = 0; Offset < All.size(); ++Offset)
    if (this->add(All[(First + Offset) % All.size()], CacheAffinity::Other))
      return;
}

CacheAffinity affinityOf(const PlacementQuery &Query, ServerList &Servers,
                         const BackendState &Server, Clock::time_point Now) {
  CacheAffinity Result = CacheAffinity::Other;
  if (usesCache(Query))
    visitHomes(Servers, *Query.Object, HomeServers::MaxOwn,
               [&](const BackendPtr &Home, CacheAffinity Affinity) {
                 if (Home.get() == &Server)
                   Result = Affinity;
                 return isEligible(Query, *Home, Now);
               });
  return used(Result, wasRecentlyUsed(Query, Server, Now));
}

} // namespace rr
