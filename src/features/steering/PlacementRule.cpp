#include "steering/PlacementRule.h"

#include "steering/ObjectHomes.h"
#include "steering/ObservedLoad.h"

#include <algorithm>

namespace rr {

namespace {

/// An object may be in the server's cache this long after a request.
constexpr Clock::duration UsedTime = std::chrono::seconds(30);
/// Objects that are remembered for each server.
constexpr std::size_t MostObjects = 256;
/// Busy share of the slots from which requests begin to wait.
constexpr double BusyShare = 0.8;
/// Load, as a part of the slots, up to which a server gets more requests. A
/// server that most likely does not hold the object is used only while it has
/// slots to spare: under load such requests would push other objects out of
/// its cache and make all of its work longer.
constexpr double HomeLimit = 1.2;
constexpr double OtherLimit = 0.34;
/// Added for urgent requests and for callers that were refused before.
constexpr double UrgentAllowance = 0.1;
constexpr double ReturningAllowance = 0.25;
constexpr int MostUrgent = 1;
/// Share of hits from which requests for foreign objects are no burden.
constexpr double LeastHitShare = 0.7;
/// Part of the usual work that a request takes when it goes well.
constexpr double ShortWork = 0.6;
/// Cold servers take about this many times as long.
constexpr double ColdFactor = 2;
/// Answer bytes that weigh as much as the whole target latency when they
/// cross regions, or availability zones; links between regions are dear.
constexpr double RegionBytes = 115e3;
constexpr double ZoneBytes = 250e3;
/// Target latencies that a certain failure weighs.
constexpr double FailureWeight = 2;

double seconds(Clock::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

bool mayRun(const PlacementQuery &Query, const BackendState &Server,
            Clock::time_point Now) {
  const BackendRecord &Record = Server.Record;
  if (Server.Gone || Record.Draining || Now < Server.RetryAt)
    return false;
  if (Query.Evacuated && Query.Evacuated->count(Record.Zone))
    return false;
  if (!Query.Homes.empty() && !Query.Homes.count(Server.Region))
    return false;
  if (Query.Version && *Query.Version != Record.Version)
    return false;
  return !Query.Tried.count(Record.Id) &&
         !Query.AvoidedVersions.count(Record.Version);
}

bool wasUsed(const PlacementQuery &Query, const BackendState &Server,
             Clock::time_point Now) {
  if (!Query.Object)
    return false;
  const auto Found = Server.Objects.find(*Query.Object);
  return Found != Server.Objects.end() && Now - Found->second < UsedTime;
}

struct Candidate {
  Placement Choice;
  double Cost = 0;
  bool Full = false;
};

Candidate assess(const PlacementQuery &Query, const BackendPtr &Server,
                 const ObjectHomes &Homes, const WorkTimes::Estimate &Work,
                 const NetworkTimes &Network, Clock::time_point Now) {
  Candidate Result;
  Placement &Choice = Result.Choice;
  Choice.Server = Server;
  Choice.Standing = Homes.standingOf(*Server, wasUsed(Query, *Server, Now));
  Choice.Cold = Server->MaybeCold || Now < Server->ColdUntil;
  const double Target = seconds(Query.Route->TargetLatency);
  const bool UsesCache = Query.Route->Sticky && Query.Object;
  const double HitShare = UsesCache ? Work.hitShare(Choice.Standing) : 0;
  double Time = seconds(Work.Miss);
  Time += HitShare * (seconds(Work.Hit) - Time);
  Time *= currentSlowness(*Server, Now) * (Choice.Cold ? ColdFactor : 1);
  const double Slots = std::max(1, Server->Record.Slots);
  const double Load = estimatedLoad(*Server, Now);
  const double Wait =
      Time * std::max(0.0, Load + 1 - BusyShare * Slots) / Slots;
  const double Way =
      seconds(Network.roundTrip(Server->Record.Zone, Server->Region));
  const double Expected = Way + Time + Wait;
  double Transfer = 0;
  if (Server->Region != Network.region())
    Transfer = Target * Work.AnswerBytes / RegionBytes;
  else if (Server->Record.Zone != Network.zone())
    Transfer = Target * Work.AnswerBytes / ZoneBytes;
  Choice.Expected = std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(Expected));
  Result.Cost = Expected + Transfer +
                FailureWeight * Target * currentFailureShare(*Server, Now);
  const bool IsHome = !UsesCache || Choice.Standing < CacheStanding::Other ||
                      HitShare >= LeastHitShare;
  double Limit = IsHome ? HomeLimit : OtherLimit;
  Limit += Query.Priority <= MostUrgent ? UrgentAllowance : 0;
  Limit += Query.Returning ? ReturningAllowance : 0;
  // Only what is certain counts against a request with little time: the way,
  // the queue, and the work when it goes well.
  const double Certain = Way + Wait + ShortWork * seconds(Work.Hit);
  Result.Full = Load >= Slots * Limit || Certain > seconds(Query.TimeLeft);
  return Result;
}

} // namespace

Placement choosePlacement(const PlacementQuery &Query,
                          const std::vector<BackendPtr> &Servers,
                          const WorkTimes &Work, const NetworkTimes &Network,
                          const ColdPermit &Permit, Clock::time_point Now) {
  const ObjectHomes Homes(Query, Network.region(), Servers);
  const WorkTimes::Estimate Times = Work.of(*Query.Route, Query.Service);
  std::vector<Candidate> Candidates;
  Placement Result;
  int Considered = 0;
  double LeastCost = 0;
  for (const BackendPtr &Server : Servers) {
    if (!mayRun(Query, *Server, Now))
      continue;
    ++Considered;
    Candidate Item = assess(Query, Server, Homes, Times, Network, Now);
    if (Item.Full && (!Result.Server || Item.Cost < LeastCost)) {
      Result = Item.Choice;
      LeastCost = Item.Cost;
    }
    if (Item.Full || Query.ClosedRegions.count(Server->Region))
      Result.Outcome = Placement::Result::Full;
    else
      Candidates.push_back(std::move(Item));
  }
  // Servers in regions that took their share of moves come last.
  const auto Before = [&](const Candidate &Left, const Candidate &Right) {
    const bool LeftFull = Query.FullRegions.count(Left.Choice.Server->Region);
    const bool RightFull = Query.FullRegions.count(Right.Choice.Server->Region);
    return LeftFull != RightFull ? RightFull : Left.Cost < Right.Cost;
  };
  std::sort(Candidates.begin(), Candidates.end(), Before);
  Result.Considered = Considered;
  for (Candidate &Item : Candidates) {
    if (Item.Choice.Cold && !Permit(*Item.Choice.Server)) {
      Result.Outcome = Placement::Result::Full;
      continue;
    }
    Item.Choice.Outcome = Placement::Result::Found;
    Item.Choice.Considered = Considered;
    return Item.Choice;
  }
  return Result;
}

void noteObject(BackendState &Server, std::uint64_t Object,
                Clock::time_point Now) {
  if (Server.Objects.size() >= MostObjects && !Server.Objects.count(Object)) {
    const auto Oldest =
        std::min_element(Server.Objects.begin(), Server.Objects.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second < Right.second;
                         });
    Server.Objects.erase(Oldest);
  }
  Server.Objects[Object] = Now;
}

} // namespace rr
