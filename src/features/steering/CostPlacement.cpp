#include "steering/CostPlacement.h"

#include "steering/ObservedLoad.h"
#include "steering/PlacementCandidates.h"
#include "steering/PlacementEligibility.h"
#include "steering/StableHash.h"

#include <algorithm>

namespace rr {

namespace {

/// Random candidates beside the homes, and without them. Two random choices
/// make the longest queue much shorter than one; more make instances with old
/// views choose the same servers.
constexpr std::size_t RandomBesideHomes = 2;
constexpr std::size_t RandomAlone = 5;
constexpr std::size_t RandomElsewhere = 1;
/// Ranked servers of the own region that may be compared, and how many more if
/// all of these are full. Two carry most objects; with three from the start,
/// objects fill so much cache that in simulations half as many requests are in
/// time at 70% load. Objects that fill two servers get more.
constexpr std::size_t OwnHomes = 2;
constexpr std::size_t OwnHomesWhenFull = 1;
/// Further draws when all candidates are full.
constexpr std::size_t RandomWhenFull = 3;
/// The wait of each candidate is multiplied by a random factor in this range,
/// so that instances with similar views do not move at the same moment.
constexpr double MinWaitFactor = 0.8;
constexpr double MaxWaitFactor = 1.2;
/// And by a factor in this range that depends on the object and the server. As
/// a home fills up, some objects move to their next home as a whole, instead of
/// a part of the requests of every object, which would need twice the cache.
constexpr double MinObjectFactor = 0.7;
constexpr double MaxObjectFactor = 1.3;
/// Longest expected wait, in target latencies. A request that waits longer is
/// late also with cached work.
constexpr double MaxWaitInTargets = 0.5;
/// Requests by slot, up to which a server that probably does not have the
/// object takes it: a next home, and another server. Cold work takes the slots
/// of several cached requests and displaces an object from the cache, so that
/// beyond these limits more requests would be late than are refused.
constexpr double NextHomeLoadLimit = 0.9;
constexpr double OtherLoadLimit = 0.34;
/// Hit share above which a server is treated as the home.
constexpr double MinHitShare = 0.85;
/// Cost of displacing another object, as part of the time that the cache
/// saves: that object is needed again, and by then displaces another one.
constexpr double DisplacementAtNextHome = 1;
constexpr double DisplacementElsewhere = 2;
/// Added to the limits for urgent requests and for callers retrying after a
/// refusal.
constexpr double UrgentAllowance = 0.1;
constexpr double ReturningAllowance = 0.25;
constexpr int MaxUrgentPriority = 1;
/// Best-case work, relative to cached work.
constexpr double MinWorkFraction = 0.6;
/// Cost of a certain failure, in target latencies: more than the displacement
/// of an object, so that another server is preferred to failing homes.
constexpr double FailureCostInTargets = 4;

struct Candidate {
  const BackendPtr *Server = nullptr;
  CompletionEstimate Estimate;
  double Cost = 0;
  bool Full = false;
  bool Deprioritized = false;
};

double objectFactor(const PlacementQuery &Query, const BackendState &Server) {
  if (!usesCache(Query))
    return 1;
  // Not the hash that ranks the homes, whose values are large at all of them.
  const std::uint64_t Hash = mixHashes(Server.Hash, *Query.Object);
  return MinObjectFactor +
         (MaxObjectFactor - MinObjectFactor) * (double(Hash >> 11) * 0x1p-53);
}

double displacement(CacheAffinity Affinity) {
  switch (Affinity) {
  case CacheAffinity::Home:
  case CacheAffinity::HomeUsed:
    return 0;
  case CacheAffinity::NextHome:
  case CacheAffinity::NextHomeUsed:
    return DisplacementAtNextHome;
  default:
    return DisplacementElsewhere;
  }
}

Candidate assess(const PlacementQuery &Query, const QueryCost &Cost,
                 const PlacementCandidates::Item &Item,
                 Clock::duration RoundTrip, const RoundTripTimes &Network,
                 double WaitFactor, Clock::time_point Now) {
  const BackendState &Server = **Item.Server;
  Candidate Result;
  Result.Server = Item.Server;
  Result.Estimate =
      estimateAt(Query, Cost, Server, Item.Affinity, RoundTrip, Now);
  const CompletionEstimate &Estimate = Result.Estimate;
  const Seconds Target = Query.Route->TargetLatency;
  const Seconds Wait = Estimate.Wait * WaitFactor * objectFactor(Query, Server);
  Seconds Total = Estimate.RoundTrip + Wait + Estimate.Work;
  Total += transferCost(Query, Server, Network.zone(), Network.region(),
                        Cost.Route.AnswerBytes);
  if (Server.FailureShare > 0)
    Total += FailureCostInTargets * currentFailureShare(Server, Now) * Target;
  const bool UsesCache = usesCache(Query);
  if (UsesCache)
    Total += displacement(Item.Affinity) * (1 - Estimate.Cost.HitShare) *
             (Estimate.Cost.Miss - Estimate.Cost.Hit);
  Result.Cost = Total.count();
  double Allowance = Query.Priority <= MaxUrgentPriority ? UrgentAllowance : 0;
  Allowance += Query.ReturningCaller ? ReturningAllowance : 0;
  const bool IsHome = !UsesCache || Item.Affinity < CacheAffinity::NextHome ||
                      Estimate.Cost.HitShare >= MinHitShare;
  const double LoadLimit =
      Item.Affinity < CacheAffinity::Other ? NextHomeLoadLimit : OtherLoadLimit;
  const Seconds Best =
      Estimate.Cost.HitShare > 0 ? Estimate.Cost.Hit : Estimate.Cost.Miss;
  // The deadline is checked against the best case only.
  const Seconds Certain =
      Estimate.RoundTrip + Estimate.Wait + MinWorkFraction * Best;
  Result.Full = Wait > (MaxWaitInTargets + Allowance) * Target ||
                (!IsHome && Estimate.Load > LoadLimit + Allowance) ||
                (Query.LoadLimit && Estimate.Load > *Query.LoadLimit) ||
                Certain > Query.TimeLeft;
  Result.Deprioritized = !Query.DeprioritizedRegions.empty() &&
                         Query.DeprioritizedRegions.count(Server.Region);
  return Result;
}

/// The candidates of one decision, assessed.
struct Comparison {
  std::array<Candidate, PlacementCandidates::MaxCandidates> Items;
  std::size_t Count = 0;

  bool hasRoom() const {
    return std::any_of(this->Items.begin(),
                       this->Items.begin() + std::ptrdiff_t(this->Count),
                       [](const Candidate &Item) { return !Item.Full; });
  }
};

Placement placementAt(const Candidate &Item) {
  Placement Result;
  Result.Server = *Item.Server;
  Result.Affinity = Item.Estimate.Affinity;
  Result.Cold = Item.Estimate.Cold;
  Result.ExpectedTime =
      std::chrono::duration_cast<Clock::duration>(Item.Estimate.total());
  Result.ExpectedWait =
      std::chrono::duration_cast<Clock::duration>(Item.Estimate.Wait);
  Result.Cost = Item.Estimate.Cost;
  return Result;
}

Placement select(const PlacementQuery &Query, Comparison &Found,
                 const RequestPermit &Permit) {
  // The few indices are sorted instead of the candidates, which are large.
  std::array<std::size_t, PlacementCandidates::MaxCandidates> Order{};
  std::size_t Usable = 0;
  const Candidate *BestFull = nullptr;
  Placement Result;
  for (std::size_t Index = 0; Index < Found.Count; ++Index) {
    const Candidate &Item = Found.Items[Index];
    const bool Blocked = !Query.BlockedRegions.empty() &&
                         Query.BlockedRegions.count((**Item.Server).Region);
    if (Item.Full && (!BestFull || Item.Cost < BestFull->Cost))
      BestFull = &Item;
    if (Item.Full || Blocked)
      Result.Outcome = Placement::Result::Full;
    else
      Order[Usable++] = Index;
  }
  const auto Before = [&](std::size_t Left, std::size_t Right) {
    const Candidate &A = Found.Items[Left];
    const Candidate &B = Found.Items[Right];
    return A.Deprioritized != B.Deprioritized ? B.Deprioritized
                                              : A.Cost < B.Cost;
  };
  std::sort(Order.begin(), Order.begin() + std::ptrdiff_t(Usable), Before);
  for (std::size_t Place = 0; Place < Usable; ++Place) {
    const Candidate &Item = Found.Items[Order[Place]];
    const BackendState &Server = **Item.Server;
    const bool NeedsPermit =
        Item.Estimate.Cold || Server.Limit.RequestsPerSecond.has_value();
    if (NeedsPermit && !Permit(Server)) {
      Result.Outcome = Placement::Result::Full;
      continue;
    }
    Result = placementAt(Item);
    Result.Outcome = Placement::Result::Found;
    return Result;
  }
  if (BestFull) {
    const Placement::Result Outcome = Result.Outcome;
    Result = placementAt(*BestFull);
    Result.Outcome = Outcome;
  }
  return Result;
}

} // namespace

ServiceLoad &CostPlacement::loadOf(const std::string &Service) {
  const auto Found = this->Loads.find(Service);
  return Found != this->Loads.end() ? Found->second : this->Loads[Service];
}

bool CostPlacement::hasWorkFactors(const std::string &Service) const {
  const auto Found = this->Loads.find(Service);
  return Found != this->Loads.end() && reportsWorkFactor(Found->second);
}

QueryCost CostPlacement::costOf(const PlacementQuery &Query,
                                Clock::time_point Now) {
  QueryCost Result;
  Result.Route = this->Costs.routeCost(*Query.Route, Query.Service);
  Result.Correction = this->Costs.correction(Query);
  Result.Usual = usualLoad(
      this->loadOf(Query.Service),
      meanWork(costAt(Result.Route, Query, 1, CacheAffinity::Home)), Now);
  return Result;
}

double CostPlacement::usualOthersIn(const std::string &Region,
                                    const PlacementQuery &Query,
                                    Clock::time_point Now) {
  const ServiceLoad &Service = this->loadOf(Query.Service);
  const auto Found = Service.Regions.find(Region);
  static const ServiceLoad Unknown;
  return usualLoad(Found == Service.Regions.end() ? Unknown : Found->second,
                   Seconds(0), Now)
      .OthersPerSlot;
}

Placement CostPlacement::choose(const PlacementQuery &Query,
                                const BackendPool &Pool,
                                const RoundTripTimes &Network,
                                const RequestPermit &Permit,
                                Clock::time_point Now) {
  ServerList &List = this->Servers.listFor(Query, Pool, Network.region());
  QueryCost Cost = this->costOf(Query, Now);
  PlacementCandidates Candidates(Query, List, Now);
  Comparison Found;
  const std::string *Region = nullptr;
  const auto AssessNew = [&] {
    std::uniform_real_distribution<> Factor(MinWaitFactor, MaxWaitFactor);
    for (; Found.Count < Candidates.size(); ++Found.Count) {
      const PlacementCandidates::Item &Item = Candidates[Found.Count];
      // Candidates of one region mostly follow each other.
      if (!Region || *Region != (**Item.Server).Region) {
        Region = &(**Item.Server).Region;
        Cost.Usual.OthersPerSlot = this->usualOthersIn(*Region, Query, Now);
      }
      Found.Items[Found.Count] =
          assess(Query, Cost, Item, List.roundTrip(*Item.Server, Network, Now),
                 Network, Factor(this->Random), Now);
    }
  };
  const bool UsesCache = usesCache(Query);
  Candidates.addHomes(OwnHomes);
  Candidates.addRandom(UsesCache ? RandomBesideHomes : RandomAlone, true,
                       this->Random);
  if (List.regions().size() > (List.own() ? 1 : 0))
    Candidates.addRandom(List.own() ? RandomElsewhere : RandomAlone, false,
                         this->Random);
  AssessNew();
  if (!Found.hasRoom()) {
    Candidates.addHomes(OwnHomesWhenFull);
    Candidates.addRandom(RandomWhenFull, false, this->Random);
    if (Candidates.size() == 0)
      Candidates.addByScan(this->Random);
    AssessNew();
  }
  Placement Result = select(Query, Found, Permit);
  // A scan that is left out, or finds nothing, says that there may be none.
  Result.EligibleServers =
      Found.Count == 0 ? 0 : static_cast<int>(List.servers().size());
  return Result;
}

CompletionEstimate CostPlacement::estimateCompletion(
    const PlacementQuery &Query, const BackendPtr &Server,
    const BackendPool &Pool, const RoundTripTimes &Network,
    Clock::time_point Now) {
  ServerList &List = this->Servers.listFor(Query, Pool, Network.region());
  QueryCost Cost = this->costOf(Query, Now);
  Cost.Usual.OthersPerSlot = this->usualOthersIn(Server->Region, Query, Now);
  return estimateAt(Query, Cost, *Server, affinityOf(Query, List, *Server, Now),
                    Network.roundTrip(Server->Record.Zone, Server->Region),
                    Now);
}

void CostPlacement::noteReport(BackendState &Server, const LoadSample &Sample,
                               Clock::duration RoundTrip,
                               Clock::time_point Now) {
  rr::noteReport(Server.Backlog, Sample, Server.InFlight, RoundTrip, Now);
  ServiceLoad &Service = this->loadOf(Server.Record.Service);
  noteServiceReport(Service, Sample, Server.Backlog.Others, Server.Record.Slots,
                    Now);
  noteServiceReport(Service.Regions[Server.Region], Sample,
                    Server.Backlog.Others, Server.Record.Slots, Now);
}

void CostPlacement::noteAnswer(const PlacementQuery &Query,
                               const Placement &Decision, Clock::duration Time,
                               Clock::duration RoundTrip,
                               const LoadSample &Sample,
                               std::size_t AnswerBytes, Clock::time_point Now) {
  // The time of a request that may have waited says little about its work.
  if (Sample.Waiting > 0)
    return;
  BackendState &Server = *Decision.Server;
  const Seconds Usual = usualWork(Seconds(Time - RoundTrip),
                                  currentWorkFactor(Server.Backlog, Now)) /
                        lastingSlowness(Server.Backlog, Now);
  noteWorkRatio(
      Server.Backlog,
      this->Costs.record(Query, Decision.Affinity, Usual, AnswerBytes), Now);
  noteServiceWork(this->loadOf(Query.Service), Usual);
}

} // namespace rr
