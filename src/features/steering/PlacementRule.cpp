#include "steering/PlacementRule.h"

#include "steering/ObjectHomes.h"
#include "steering/ObservedLoad.h"
#include "steering/PlacementEligibility.h"

#include <algorithm>

namespace rr {

namespace {

/// Tracked objects per server.
constexpr std::size_t MaxTrackedObjects = 256;
/// Occupied fraction of the slots above which requests start to queue.
constexpr double QueueingThreshold = 0.8;
/// Load limits relative to the slots. A server that probably does not have the
/// object cached is used only while it has spare slots: under load such
/// requests would evict other objects from its cache and slow down all its
/// requests.
constexpr double HomeLoadLimit = 1.2;
constexpr double OtherLoadLimit = 0.34;
/// Added to the limits for urgent requests and for callers retrying after a
/// refusal.
constexpr double UrgentLoadAllowance = 0.1;
constexpr double ReturningLoadAllowance = 0.25;
constexpr int MaxUrgentPriority = 1;
/// Hit share above which a server that is not a home of the object gets the
/// home limit.
constexpr double MinHitShare = 0.7;
/// Best-case processing time, relative to the mean of a cache hit.
constexpr double MinWorkFraction = 0.6;
/// Processing time factor of cold servers.
constexpr double ColdSlowdown = 2;
/// Cost of a certain failure, in target latencies.
constexpr double FailureCostInTargets = 2;

double seconds(Clock::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

struct Candidate {
  Placement Choice;
  double Cost = 0;
  bool Full = false;
};

Candidate assess(const PlacementQuery &Query, const BackendPtr &Server,
                 const ObjectHomes &Homes,
                 const ProcessingTimes::Estimate &Work,
                 const RoundTripTimes &Network, Clock::time_point Now) {
  Candidate Result;
  Placement &Choice = Result.Choice;
  Choice.Server = Server;
  Choice.Affinity =
      Homes.affinityOf(*Server, wasRecentlyUsed(Query, *Server, Now));
  Choice.Cold = isCold(*Server, Now);
  const double Target = seconds(Query.Route->TargetLatency);
  const bool UsesCache = Query.Route->Sticky && Query.Object;
  const double HitShare = UsesCache ? Work.hitShare(Choice.Affinity) : 0;
  double Time = seconds(Work.Miss);
  Time += HitShare * (seconds(Work.Hit) - Time);
  Time *= currentSlowness(*Server, Now) * (Choice.Cold ? ColdSlowdown : 1);
  const double Slots = std::max(1, Server->Record.Slots);
  const double Load = estimatedLoad(*Server, Now);
  const double Wait =
      Time * std::max(0.0, Load + 1 - QueueingThreshold * Slots) / Slots;
  const double RoundTrip =
      seconds(Network.roundTrip(Server->Record.Zone, Server->Region));
  const double Expected = RoundTrip + Time + Wait;
  const Seconds TransferCost = transferCost(Query, *Server, Network.zone(),
                                            Network.region(), Work.AnswerBytes);
  Choice.ExpectedTime = std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(Expected));
  Choice.ExpectedWait = std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(Wait));
  Result.Cost =
      Expected + TransferCost.count() +
      FailureCostInTargets * Target * currentFailureShare(*Server, Now);
  const bool IsHome = !UsesCache || Choice.Affinity < CacheAffinity::Other ||
                      HitShare >= MinHitShare;
  double Limit = IsHome ? HomeLoadLimit : OtherLoadLimit;
  Limit += Query.Priority <= MaxUrgentPriority ? UrgentLoadAllowance : 0;
  Limit += Query.ReturningCaller ? ReturningLoadAllowance : 0;
  // The deadline is checked against the best case only: round trip, queueing
  // and the shortest processing time.
  const double Certain = RoundTrip + Wait + MinWorkFraction * seconds(Work.Hit);
  Result.Full = Load >= Slots * Limit || Certain > seconds(Query.TimeLeft);
  return Result;
}

} // namespace

Placement choosePlacement(const PlacementQuery &Query,
                          const std::vector<BackendPtr> &Servers,
                          const ProcessingTimes &Work,
                          const RoundTripTimes &Network,
                          const RequestPermit &Permit, Clock::time_point Now) {
  const ObjectHomes Homes(Query, Network.region(), Servers);
  const ProcessingTimes::Estimate Times =
      Work.estimateFor(*Query.Route, Query.Service);
  std::vector<Candidate> Candidates;
  Placement Result;
  int EligibleServers = 0;
  double LeastCost = 0;
  for (const BackendPtr &Server : Servers) {
    if (!isEligible(Query, *Server, Now))
      continue;
    ++EligibleServers;
    Candidate Item = assess(Query, Server, Homes, Times, Network, Now);
    if (Item.Full && (!Result.Server || Item.Cost < LeastCost)) {
      Result = Item.Choice;
      LeastCost = Item.Cost;
    }
    if (Item.Full || Query.BlockedRegions.count(Server->Region))
      Result.Outcome = Placement::Result::Full;
    else
      Candidates.push_back(std::move(Item));
  }
  // Servers in deprioritized regions come last.
  const auto Before = [&](const Candidate &Left, const Candidate &Right) {
    const bool LeftFull =
        Query.DeprioritizedRegions.count(Left.Choice.Server->Region);
    const bool RightFull =
        Query.DeprioritizedRegions.count(Right.Choice.Server->Region);
    return LeftFull != RightFull ? RightFull : Left.Cost < Right.Cost;
  };
  std::sort(Candidates.begin(), Candidates.end(), Before);
  Result.EligibleServers = EligibleServers;
  for (Candidate &Item : Candidates) {
    const BackendState &Server = *Item.Choice.Server;
    const bool NeedsPermit =
        Item.Choice.Cold || Server.Limit.RequestsPerSecond.has_value();
    if (NeedsPermit && !Permit(Server)) {
      Result.Outcome = Placement::Result::Full;
      continue;
    }
    Item.Choice.Outcome = Placement::Result::Found;
    Item.Choice.EligibleServers = EligibleServers;
    return Item.Choice;
  }
  return Result;
}

void recordObjectUse(BackendState &Server, std::uint64_t Object,
                     Clock::time_point Now) {
  if (Server.ObjectLastUsedAt.size() >= MaxTrackedObjects &&
      !Server.ObjectLastUsedAt.count(Object)) {
    const auto Oldest = std::min_element(
        Server.ObjectLastUsedAt.begin(), Server.ObjectLastUsedAt.end(),
        [](const auto &Left, const auto &Right) {
          return Left.second < Right.second;
        });
    Server.ObjectLastUsedAt.erase(Oldest);
  }
  Server.ObjectLastUsedAt[Object] = Now;
}

} // namespace rr
