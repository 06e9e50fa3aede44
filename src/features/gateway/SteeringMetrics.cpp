#include "gateway/SteeringMetrics.h"

#include "steering/ObservedLoad.h"
#include "tables/BootTime.h"

#include <map>
#include <utility>

namespace rr {

namespace {

double seconds(Clock::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

const char *serverStateName(const BackendState &Server, Clock::time_point Now) {
  if (Server.Record.Draining)
    return "draining";
  if (Now < Server.RetryAt)
    return "avoided";
  if (isCold(Server, Now))
    return "cold";
  return Server.Limit.RequestsPerSecond ? "limited" : "ready";
}

struct ServerSums {
  std::map<std::string, double> Servers{{"ready", 0},
                                        {"cold", 0},
                                        {"limited", 0},
                                        {"draining", 0},
                                        {"avoided", 0}};
  std::map<std::string, double> Slots{
      {"all", 0}, {"own", 0}, {"running", 0}, {"waiting", 0}};
};

void updateServerMetrics(const SteeringState &State, Metrics &Counters,
                         Clock::time_point Now) {
  std::map<std::pair<std::string, std::string>, ServerSums> SumsByGroup;
  for (const BackendPtr &Server : State.Backends.all()) {
    ServerSums &Sum = SumsByGroup[{Server->Record.Service, Server->Region}];
    ++Sum.Servers[serverStateName(*Server, Now)];
    Sum.Slots["all"] += Server->Record.Slots;
    Sum.Slots["own"] += Server->InFlight;
    Sum.Slots["running"] += Server->Load.Running;
    Sum.Slots["waiting"] += Server->Load.Waiting;
  }
  for (const auto &[Group, Sum] : SumsByGroup) {
    Metrics::Labels Labels{{"service", Group.first}, {"region", Group.second}};
    for (const auto &[Name, Count] : Sum.Servers) {
      Labels["state"] = Name;
      Counters.set(Metric::SteeringServers, Labels, Count);
    }
    for (const auto &[Name, Count] : Sum.Slots) {
      Labels["state"] = Name;
      Counters.set(Metric::SteeringSlots, Labels, Count);
    }
  }
}

const char *phaseName(VersionMove::Phase Phase) {
  switch (Phase) {
  case VersionMove::Phase::Running:
    return "running";
  case VersionMove::Phase::Completed:
    return "completed";
  case VersionMove::Phase::RolledBack:
    return "rolled_back";
  }
  return "unknown";
}

template <typename T>
void countResult(Metrics &Counters, const char *Call,
                 const Outcome<T> &Result) {
  Counters.add(
      Metric::StoreCalls,
      {{"call", Call},
       {"result", Result ? std::string("done") : Result.error().message()}});
}

} // namespace

void updateStateMetrics(SteeringState &State, Metrics &Counters,
                        Clock::time_point Now) {
  updateServerMetrics(State, Counters, Now);
  if (State.Config)
    Counters.set(Metric::ConfigurationVersion, {},
                 double(State.Config->Version));
  Counters.set(Metric::Members, {{"state", "in_service"}},
               double(State.Members.inService().size()));
  Counters.set(Metric::Members, {{"state", "live"}},
               double(State.Members.live().size()));
  for (const auto &[Use, Name] : {std::pair(ConnectionUse::Callers, "callers"),
                                  {ConnectionUse::Servers, "servers"},
                                  {ConnectionUse::Peers, "peers"},
                                  {ConnectionUse::Other, "other"}}) {
    Counters.set(Metric::SteeringConnections,
                 {{"use", Name}, {"state", "used"}},
                 double(State.Connections->used(Use)));
    Counters.set(Metric::SteeringConnections,
                 {{"use", Name}, {"state", "limit"}},
                 double(State.Connections->limit(Use)));
  }
  // Time since the keys expired; negative while they are valid.
  Counters.set(Metric::SteeringAge, {{"subject", "keys"}},
               seconds(bootTime() - State.KeysValidUntil));
  for (auto &[Service, Budget] : State.Retries)
    Counters.set(Metric::SteeringRetryTokens, {{"service", Service}},
                 double(Budget.available()));
  for (const auto &[Workspace, Demand] : State.Quotas.demand(Now)) {
    Counters.set(Metric::SteeringDemand, {{"workspace", Workspace}}, Demand);
    Counters.set(Metric::SteeringRateShare, {{"workspace", Workspace}},
                 State.Members.rateShare(Workspace));
  }
  for (const auto &[Service, Versions] : State.Versions)
    if (const auto &Move = Versions.move())
      Counters.set(Metric::SteeringMoveShare,
                   {{"service", Service}, {"state", phaseName(Move->State)}},
                   Move->Share);
}

TableStore withCallCounters(TableStore Store, Metrics &Counters) {
  TableStore Result;
  Result.ReadTable =
      [Read = Store.ReadTable,
       &Counters](std::string Table) -> asio::awaitable<Outcome<TableRows>> {
    auto Rows = co_await Read(std::move(Table));
    countResult(Counters, "read_table", Rows);
    co_return Rows;
  };
  Result.ReadChanges =
      [Read = Store.ReadChanges,
       &Counters](std::string Table, StoreVersion After,
                  Clock::duration Wait) -> asio::awaitable<Outcome<TableRows>> {
    auto Rows = co_await Read(std::move(Table), After, Wait);
    countResult(Counters, "read_changes", Rows);
    co_return Rows;
  };
  Result.Commit = [Commit = Store.Commit,
                   &Counters](std::vector<TableWrite> Writes)
      -> asio::awaitable<Outcome<StoreVersion>> {
    auto Version = co_await Commit(std::move(Writes));
    countResult(Counters, "commit", Version);
    co_return Version;
  };
  return Result;
}

const char *cacheAffinityName(CacheAffinity Standing) {
  switch (Standing) {
  case CacheAffinity::Home:
    return "home";
  case CacheAffinity::HomeUsed:
    return "home_used";
  case CacheAffinity::NextHome:
    return "next_home";
  case CacheAffinity::NextHomeUsed:
    return "next_home_used";
  case CacheAffinity::Other:
    return "other";
  case CacheAffinity::OtherUsed:
    return "other_used";
  }
  return "unknown";
}

} // namespace rr
