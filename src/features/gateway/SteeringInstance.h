#ifndef REDWINGRACK_GATEWAY_STEERINGINSTANCE_H
#define REDWINGRACK_GATEWAY_STEERINGINSTANCE_H

#include "base/Outcome.h"
#include "base/Timer.h"
#include "gateway/BackendRegistry.h"
#include "gateway/Gateway.h"
#include "gateway/MemberRegistry.h"
#include "gateway/MoveCoordinator.h"
#include "gateway/OrderRegistry.h"
#include "gateway/PlatformCodec.h"
#include "gateway/QuotaExchange.h"
#include "gateway/StandbyForwarder.h"
#include "gateway/SteeringState.h"
#include "http1/HttpServer.h"
#include "links/PeerLinks.h"
#include "tables/TableRelay.h"
#include "tables/TableStore.h"
#include "tables/TableWatch.h"
#include "telemetry/Metrics.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <deque>
#include <functional>
#include <string>

namespace rr {

/// One instance on a platform: listens to callers, follows the platform's
/// tables and forwards requests.
class SteeringInstance {
public:
  SteeringInstance(asio::io_context &Context, const GatewaySettings &Settings,
                   TableStore Store, PlatformCodec Codec);

  /// Listens and begins to read. Errc::Unavailable or Errc::Malformed for an
  /// address that cannot be used.
  Outcome<void> start();
  /// Leaves the look-up, finishes what runs and then calls \p OnStopped.
  void beginStop(std::function<void()> OnStopped);
  /// Takes bounds that changed; names and addresses stay.
  void setBounds(const SteeringBounds &Bounds);

  const SteeringState &state() const { return this->State; }
  std::uint16_t callerPort() const { return this->CallerServer.port(); }
  std::uint16_t lookupPort() const { return this->LookupServer.port(); }
  std::uint16_t metricsPort() const { return this->MetricsServer.port(); }
  bool isReady() const;

private:
  asio::awaitable<HttpMessage> handleCaller(HttpMessage Request,
                                            CancellationPtr Cancel);
  /// Keeps the instance in service, or takes it there when callers come often.
  void recordRequest(Clock::time_point Now);
  /// Reads at a standby what may have changed since it last looked. False
  /// when the store did not answer in time.
  asio::awaitable<bool> refreshTables();
  asio::awaitable<void> refreshTable(TableWatch &Table);
  bool areTablesCurrent(Clock::time_point Now) const;
  /// The store answers again for one table.
  void onStoreReturned();
  /// Entries of servers that are missing may come back.
  bool isStoreRecovering() const;
  asio::awaitable<HttpMessage> handleReadiness(HttpMessage Request);
  asio::awaitable<HttpMessage> handleMetrics(HttpMessage Request);
  asio::awaitable<HttpMessage> handleLookup(HttpMessage Request);
  /// Finds out whether callers will come here, and then reads and writes.
  asio::awaitable<void> startReading();
  asio::awaitable<void> runAnnouncements();
  asio::awaitable<void> createPeerSecret();
  asio::awaitable<void> runMaintenance();
  asio::awaitable<void> drainAndStop(std::function<void()> OnStopped);
  /// Until this instance shares the sums; endless when it does, or may not.
  Clock::duration timeUntilJoin() const;
  void applyPollPeriods(bool MovePending);
  void updateStandby(Clock::time_point Now);
  void applyLimits(const ClientLimits &Limits);

  asio::io_context &Context;
  Metrics Counters;
  TableStore Store;
  PlatformCodec Codec;
  SteeringState State;
  PeerLinks Links;
  QuotaExchange Quotas;
  Gateway RequestGateway;
  StandbyForwarder Forwarder;
  HttpServer CallerServer;
  HttpServer ReadinessServer;
  HttpServer LookupServer;
  HttpServer MetricsServer;
  OrderRegistry Orders;
  BackendRegistry Backends;
  MemberRegistry Members;
  MoveCoordinator Moves;
  TableRelay Relay;
  /// The store, with reads through other instances.
  TableStore RelayedStore;
  TableWatch OrderTable;
  TableWatch BackendTable;
  TableWatch MemberTable;
  /// Wakes runAnnouncements() early.
  Timer AnnounceTimer;
  Clock::time_point StartedAt{};
  /// Callers are sent here whether or not they came lately.
  bool Active = false;
  /// Callers were served lately; the instance does not stand by before.
  Clock::time_point InServiceUntil{};
  /// The last requests that came to an instance that could stand by.
  std::deque<Clock::time_point> RecentRequests;
  int RunningRefreshes = 0;
  bool Stopped = false;
  bool ReadyLogged = false;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_STEERINGINSTANCE_H
