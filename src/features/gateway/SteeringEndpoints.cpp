#include "gateway/GatewayReplies.h"
#include "gateway/SteeringInstance.h"
#include "gateway/SteeringMetrics.h"
#include "tables/BootTime.h"

#include <algorithm>
#include <set>

namespace rr {

namespace {

constexpr std::size_t MaxLookupAddresses = 64;
const std::string MetricsPath = "/metrics";

} // namespace

asio::awaitable<HttpMessage>
SteeringInstance::handleReadiness(HttpMessage Request) {
  if (!this->Codec.IsReadinessCall(Request))
    co_return plainReply(404, "unknown path");
  co_return this->isReady() ? plainReply(200, "ready")
                            : plainReply(503, "not ready");
}

asio::awaitable<HttpMessage>
SteeringInstance::handleMetrics(HttpMessage Request) {
  if (Request.Method != "GET" || Request.Target != MetricsPath)
    co_return plainReply(404, "unknown path");
  const Clock::time_point Now = Clock::now();
  updateStateMetrics(this->State, this->Counters, Now);
  struct Subject {
    const char *Name;
    Clock::time_point CurrentUntil;
  };
  const TableTimes Known = this->tableTimes();
  for (const Subject &Item : {Subject{"orders", Known.Orders},
                              {"backends", Known.Backends},
                              {"members", Known.Members}})
    this->Counters.set(
        Metric::SteeringAge, {{"subject", Item.Name}},
        std::chrono::duration<double>(bootTime() - Item.CurrentUntil).count());
  this->Counters.set(Metric::Running, {},
                     double(this->CallerServer.activeRequests()));
  const CallerCounters &Callers = this->CallerServer.counters();
  for (const auto &[Name, Count] : {std::pair("refused", Callers.Refused),
                                    {"unanswered", Callers.Unanswered},
                                    {"dropped", Callers.Dropped},
                                    {"closed_idle", Callers.ClosedIdle}})
    this->Counters.set(Metric::SteeringCallerLimit, {{"result", Name}},
                       double(Count));
  for (const TableWatch *Table :
       {&this->OrderTable, &this->BackendTable, &this->MemberTable}) {
    this->Counters.set(Metric::SteeringTableVersion,
                       {{"table", Table->table()}},
                       double(Table->version().Number));
    this->Counters.set(Metric::SteeringTableEra, {{"table", Table->table()}},
                       double(Table->version().Era));
    const TableWatch::ReadCounts &Reads = Table->readCounts();
    for (const auto &[Name, Count] :
         {std::pair("changes", Reads.Changes),
          {"snapshot", Reads.Snapshots},
          {"ignored_snapshot", Reads.IgnoredSnapshots},
          {"history_lost", Reads.LostHistories}})
      this->Counters.set(Metric::SteeringTableReads,
                         {{"table", Table->table()}, {"result", Name}},
                         double(Count));
  }
  this->Counters.set(Metric::SteeringRelayedReads, {},
                     double(this->Relay.relayedReads()));
  if (this->Usage)
    this->Usage->updateMetrics();
  HttpMessage Reply;
  Reply.Status = 200;
  Reply.Headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
  Reply.Body = this->Counters.format();
  co_return Reply;
}

asio::awaitable<HttpMessage>
SteeringInstance::handleLookup(HttpMessage Request) {
  const auto Query = this->Codec.DecodeLookup(Request);
  this->Counters.add(Metric::Lookups);
  if (!Query)
    co_return plainReply(Query.error() == make_error_code(Errc::NotFound) ? 404
                                                                          : 400,
                         "not a valid look-up request");
  if (this->State.MembersKnown &&
      (!this->followsTables() || !this->State.Config)) {
    // The list of instances is outdated, or the instance has just started and
    // does not know the home regions yet.
    auto Answer = co_await this->Forwarder.forwardLookup(Request);
    if (Answer)
      co_return std::move(*Answer);
    if (this->State.Config)
      co_await this->refreshTables();
  }
  if (!this->State.Config || !this->State.MembersKnown)
    co_return refusalReply(503, "the list of instances is not known yet",
                           std::chrono::milliseconds(300));
  std::set<std::string> Homes;
  const auto Routes = this->State.Config->RoutesByHost.find(Query->Host);
  if (Routes != this->State.Config->RoutesByHost.end())
    for (const SteeringRoute &Route : Routes->second)
      Homes.insert(Route.HomeRegions.begin(), Route.HomeRegions.end());
  auto Addresses = this->State.Members.addressesFor(Query->Zone, Query->Region,
                                                    Homes, MaxLookupAddresses);
  // This instance cannot verify keys at present; others may be able to.
  if (Addresses.size() > 1 && bootTime() >= this->State.KeysValidUntil)
    std::erase(Addresses, this->State.Settings.CallerAddress);
  if (Addresses.empty())
    co_return refusalReply(503, "no live instance is known",
                           std::chrono::milliseconds(300));
  co_return this->Codec.EncodeLookup(
      Addresses, this->State.Settings.Bounds.LookupLifetime);
}

} // namespace rr
