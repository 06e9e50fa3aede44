#include "steering/PlacementRule.h"

#include "steering/ObservedLoad.h"
#include "steering/StableHash.h"

#include <algorithm>
#include <map>

namespace rr {

namespace {

/// An object is taken to be in the server's cache this long after a request.
constexpr Clock::duration WarmTime = std::chrono::seconds(30);
/// Objects that are remembered for each server.
constexpr std::size_t MostObjects = 256;
/// Likelihood that the server holds an object because other instances send
/// it there, by the server's rank for the object in its region.
constexpr double RankLikelihood[] = {0.9, 0.5, 0.25};
constexpr double OtherLikelihood = 0.1;
/// Busy share of the slots from which requests begin to wait.
constexpr double BusyShare = 0.8;
/// Requests that may wait for each slot, by urgency.
constexpr double UrgentQueue = 1.2;
constexpr double OtherQueue = 0.8;
constexpr int MostUrgent = 1;
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

struct Ranked {
  std::uint64_t Score = 0;
  const BackendState *Server = nullptr;
};

/// The first servers for an object in each region, by rendezvous hashing.
class RegionRanks {
public:
  RegionRanks(const PlacementQuery &Query,
              const std::vector<BackendPtr> &Servers) {
    if (!Query.Object)
      return;
    for (const BackendPtr &Server : Servers) {
      if (Server->Record.Draining)
        continue;
      auto &First = this->ByRegion[Server->Region];
      First.push_back({mixHashes(*Query.Object, Server->Hash), Server.get()});
    }
    for (auto &Item : this->ByRegion) {
      auto &First = Item.second;
      const std::size_t Count =
          std::min(First.size(), std::size(RankLikelihood));
      std::partial_sort(First.begin(), First.begin() + Count, First.end(),
                        [](const Ranked &Left, const Ranked &Right) {
                          return Left.Score > Right.Score;
                        });
      First.resize(Count);
    }
  }

  double likelihood(const BackendState &Server) const {
    const auto Found = this->ByRegion.find(Server.Region);
    if (Found == this->ByRegion.end())
      return OtherLikelihood;
    for (std::size_t Index = 0; Index < Found->second.size(); ++Index)
      if (Found->second[Index].Server == &Server)
        return RankLikelihood[Index];
    return OtherLikelihood;
  }

private:
  std::map<std::string, std::vector<Ranked>> ByRegion;
};

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

bool isWarm(const PlacementQuery &Query, const BackendState &Server,
            Clock::time_point Now) {
  if (!Query.Object)
    return false;
  const auto Found = Server.Objects.find(*Query.Object);
  return Found != Server.Objects.end() && Now - Found->second < WarmTime;
}

struct Candidate {
  Placement Choice;
  double Cost = 0;
  bool Full = false;
};

Candidate assess(const PlacementQuery &Query, const BackendPtr &Server,
                 const RegionRanks &Ranks, const WorkTimes::Estimate &Work,
                 const NetworkTimes &Network, Clock::time_point Now) {
  Candidate Result;
  Placement &Choice = Result.Choice;
  Choice.Server = Server;
  Choice.Warm = isWarm(Query, *Server, Now);
  Choice.Cold = Server->MaybeCold || Now < Server->ColdUntil;
  const double Target = seconds(Query.Route->TargetLatency);
  const double Likelihood = Choice.Warm ? 1 : Ranks.likelihood(*Server);
  double Time = seconds(Work.Miss);
  if (Query.Route->Sticky)
    Time += Likelihood * (seconds(Work.Warm) - Time);
  Time *= currentSlowness(*Server, Now) * (Choice.Cold ? ColdFactor : 1);
  const double Slots = std::max(1, Server->Record.Slots);
  const double Load = estimatedLoad(*Server, Now);
  const double Wait = Time * std::max(0.0, Load + 1 - BusyShare * Slots) / Slots;
  const double Way =
      seconds(Network.roundTrip(Server->Record.Zone, Server->Region));
  const double Expected = Way + Time + Wait;
  double Transfer = 0;
  if (Server->Region != Network.region())
    Transfer = Target * Work.AnswerBytes / RegionBytes;
  else if (Server->Record.Zone != Network.zone())
    Transfer = Target * Work.AnswerBytes / ZoneBytes;
  Choice.Expected =
      std::chrono::duration_cast<Clock::duration>(
          std::chrono::duration<double>(Expected));
  Result.Cost = Expected + Transfer +
                FailureWeight * Target * currentFailureShare(*Server, Now);
  const double Queue =
      Query.Priority <= MostUrgent ? UrgentQueue : OtherQueue;
  Result.Full = Load >= Slots * (1 + Queue) || Choice.Expected > Query.TimeLeft;
  return Result;
}

} // namespace

Placement choosePlacement(const PlacementQuery &Query,
                          const std::vector<BackendPtr> &Servers,
                          const WorkTimes &Work, const NetworkTimes &Network,
                          const ColdPermit &Permit, Clock::time_point Now) {
  const RegionRanks Ranks(Query, Servers);
  const WorkTimes::Estimate Times = Work.of(*Query.Route, Query.Service);
  std::vector<Candidate> Candidates;
  Placement Result;
  for (const BackendPtr &Server : Servers) {
    if (!mayRun(Query, *Server, Now))
      continue;
    Candidate Item = assess(Query, Server, Ranks, Times, Network, Now);
    if (Item.Full)
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
  for (Candidate &Item : Candidates) {
    if (Item.Choice.Cold && !Permit(*Item.Choice.Server)) {
      Result.Outcome = Placement::Result::Full;
      continue;
    }
    Item.Choice.Outcome = Placement::Result::Found;
    return Item.Choice;
  }
  return Result;
}

void noteObject(BackendState &Server, std::uint64_t Object,
                Clock::time_point Now) {
  if (Server.Objects.size() >= MostObjects && !Server.Objects.count(Object)) {
    const auto Oldest = std::min_element(
        Server.Objects.begin(), Server.Objects.end(),
        [](const auto &Left, const auto &Right) {
          return Left.second < Right.second;
        });
    Server.Objects.erase(Oldest);
  }
  Server.Objects[Object] = Now;
}

} // namespace rr
