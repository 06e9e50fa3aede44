#include "gateway/GatewayReplies.h"
#include "gateway/SteeringInstance.h"
#include "gateway/SteeringMetrics.h"
#include "tables/BootTime.h"

#include <algorithm>
#include <set>

namespace rr {

namespace {

constexpr std::size_t MostAddresses = 64;
const std::string MetricsPath = "/metrics";

} // namespace

asio::awaitable<HttpMessage>
SteeringInstance::answerReadiness(HttpMessage Request) {
  if (!this->Codec.IsReadinessCall(Request))
    co_return plainReply(404, "unknown call");
  co_return this->isReady() ? plainReply(200, "ready")
                            : plainReply(503, "not ready");
}

asio::awaitable<HttpMessage>
SteeringInstance::answerMetrics(HttpMessage Request) {
  if (Request.Method != "GET" || Request.Target != MetricsPath)
    co_return plainReply(404, "unknown call");
  const Clock::time_point Now = Clock::now();
  describeState(this->State, this->Counters, Now);
  struct Subject {
    const char *Name;
    const TableWatch &Table;
  };
  for (const Subject &Item : {Subject{"orders", this->OrderTable},
                              {"backends", this->BackendTable},
                              {"members", this->MemberTable}})
    this->Counters.set(
        Metric::SteeringAge, {{"subject", Item.Name}},
        std::chrono::duration<double>(Now - Item.Table.readStart()).count());
  this->Counters.set(Metric::Running, {},
                     double(this->Callers.activeRequests()));
  this->Counters.set(Metric::SteeringRelayedReads, {},
                     double(this->Relay.relayedReads()));
  HttpMessage Reply;
  Reply.Status = 200;
  Reply.Headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
  Reply.Body = this->Counters.format();
  co_return Reply;
}

asio::awaitable<HttpMessage>
SteeringInstance::answerLookup(HttpMessage Request) {
  const auto Query = this->Codec.DecodeLookup(Request);
  this->Counters.add(Metric::Lookups);
  if (!Query)
    co_return plainReply(Query.error() == make_error_code(Errc::NotFound) ? 404
                                                                          : 400,
                         "not a look-up");
  if (this->State.MembersKnown &&
      (this->State.Standby || !this->State.Config)) {
    // What a standby knows of the others is old, and one that has just started
    // has read no homes yet.
    auto Answer = co_await this->Forwarder.forwardLookup(Request);
    if (Answer)
      co_return std::move(*Answer);
  }
  if (!this->State.Config || !this->State.MembersKnown)
    co_return refusalReply(503, "the instances are not known here yet",
                           std::chrono::milliseconds(300));
  std::set<std::string> Homes;
  const auto Routes = this->State.Config->RoutesByHost.find(Query->Host);
  if (Routes != this->State.Config->RoutesByHost.end())
    for (const SteeringRoute &Route : Routes->second)
      Homes.insert(Route.HomeRegions.begin(), Route.HomeRegions.end());
  auto Addresses = this->State.Members.addressesFor(Query->Zone, Query->Region,
                                                    Homes, MostAddresses);
  // This instance cannot check keys, others may be able to.
  if (Addresses.size() > 1 && bootTime() >= this->State.KeysValidUntil)
    std::erase(Addresses, this->State.Settings.CallerAddress);
  if (Addresses.empty())
    co_return refusalReply(503, "no instance is known to be up",
                           std::chrono::milliseconds(300));
  co_return this->Codec.EncodeLookup(
      Addresses, this->State.Settings.Bounds.LookupLifetime);
}

} // namespace rr
