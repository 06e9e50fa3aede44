#ifndef REDWINGRACK_GATEWAY_STEERINGINSTANCE_H
#define REDWINGRACK_GATEWAY_STEERINGINSTANCE_H

#include "base/Outcome.h"
#include "base/Timer.h"
#include "gateway/BackendRegistry.h"
#include "gateway/Gateway.h"
#include "gateway/LoopDelay.h"
#include "gateway/MemberRegistry.h"
#include "gateway/MoveCoordinator.h"
#include "gateway/OrderRegistry.h"
#include "gateway/OverloadSignal.h"
#include "gateway/OwnRowWriter.h"
#include "gateway/PlatformCodec.h"
#include "gateway/QuotaExchange.h"
#include "gateway/RunningRequests.h"
#include "gateway/StandbyForwarder.h"
#include "gateway/SteeringState.h"
#include "gateway/StopDecision.h"
#include "gateway/SuspectRegistry.h"
#include "http1/HttpServer.h"
#include "links/PeerLinks.h"
#include "steering/OverloadRule.h"
#include "steering/StandbyRule.h"
#include "steering/TableFreshness.h"
#include "tables/TableRelay.h"
#include "tables/TableStore.h"
#include "tables/TableWatch.h"
#include "telemetry/Metrics.h"
#include "usage/UsageReporter.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace rr {

/// One instance on a platform: accepts requests of callers, follows the
/// platform's tables and forwards the requests to backend servers.
class SteeringInstance {
public:
  /// Usage is reported by \p ReportUsage; empty if the platform does not ask
  /// for it.
  SteeringInstance(asio::io_context &Context, const GatewaySettings &Settings,
                   TableStore Store, PlatformCodec Codec,
                   UsageApi ReportUsage = nullptr);

  /// Listens and begins to read the tables. Errc::Unavailable or
  /// Errc::Malformed if a listen address cannot be used.
  Outcome<void> start();
  /// Leaves the look-up, finishes running requests within the stop time and
  /// then calls \p OnStopped.
  void beginStop(std::function<void()> OnStopped);
  /// Applies changed bounds; names and addresses stay as they are.
  void setBounds(const SteeringBounds &Bounds);

  const SteeringState &state() const { return this->State; }
  std::uint16_t callerPort() const { return this->CallerServer.port(); }
  std::uint16_t lookupPort() const { return this->LookupServer.port(); }
  std::uint16_t metricsPort() const { return this->MetricsServer.port(); }
  bool isReady() const;
  /// Null if usage is not reported.
  const UsageReporter *usage() const { return this->Usage.get(); }

private:
  asio::awaitable<HttpMessage> handleCaller(HttpMessage Request,
                                            CancellationPtr Cancel);
  /// Counts a request of a caller. Takes the instance into service, or keeps it
  /// there, if requests arrive frequently.
  void recordRequest(Clock::time_point Now);
  TableTimes tableTimes() const;
  /// Whether this instance is in service and has read all tables since it left
  /// standby.
  bool followsTables() const;
  /// Reads the changes of all tables at once. False if the store did not answer
  /// in time.
  asio::awaitable<bool> refreshTables();
  /// Whether another instance was seen to use a newer configuration, so that
  /// this one must not answer by its own.
  bool isBehind() const;
  /// Reads the changes of the orders at once if this instance is behind. False
  /// if it still is then.
  asio::awaitable<bool> catchUp();
  /// Reads the changes of the backend table if its rows are outdated. If the
  /// store does not answer, the rows stay as they are.
  asio::awaitable<void> refreshBackends();
  /// Starts a read of the changes of \p Table, unless one is running.
  void startRefresh(TableWatch &Table);
  /// Called when the store answers again for one table.
  void onStoreReturned();
  /// Called with the version of each read of all orders. If the store is of a
  /// newer era than the member table was read in, that table is read at once.
  void onOrdersRead(StoreVersion Read);
  /// Announces this instance after a random delay, since all instances learn of
  /// a new era of the store at the same time.
  asio::awaitable<void> announceRestored();
  /// Whether the store was unavailable recently, so that missing rows of
  /// backend servers may be written again.
  bool isStoreRecovering() const;
  asio::awaitable<HttpMessage> handleReadiness(HttpMessage Request);
  asio::awaitable<HttpMessage> handleMetrics(HttpMessage Request);
  asio::awaitable<HttpMessage> handleLookup(HttpMessage Request);
  /// Waits for the member table, decides whether this instance is a standby,
  /// and starts following the other tables and announcing the instance.
  asio::awaitable<void> startReading();
  /// Writes the row of this instance periodically and advances version moves.
  asio::awaitable<void> runAnnouncements();
  asio::awaitable<void> writePeerSecret();
  asio::awaitable<void> runMaintenance();
  /// Stops accepting requests, waits for running ones and calls \p OnStopped.
  asio::awaitable<void> drainAndStop(StopSchedule Plan,
                                     std::function<void()> OnStopped);
  /// During a stop, the refusal of a request whose body is still to be read and
  /// which could not be done any more if it were complete.
  std::optional<HttpMessage> refuseUpload(const HttpMessage &Head) const;
  /// Time until this instance may use its quota shares; Clock::duration::max()
  /// if it may already or the time is not known.
  Clock::duration timeUntilJoin() const;
  void applyPollPeriods(bool MovePending);
  /// Decides whether this instance is a standby.
  void updateStandby(Clock::time_point Now);
  void applyLimits(const ClientLimits &Limits);
  /// Options of the links between instances, limited by the size of the
  /// machine.
  static PeerLinks::Options linkOptions(const SteeringState &State);
  /// Lets all listeners and pools take their connections from the budget.
  void divideConnectionBudget();
  void logConnectionBudget() const;
  /// Measures the delay of the event loop.
  asio::awaitable<void> runLoopMonitor();
  /// Decides whether this instance is overloaded, and announces a change.
  void updateOverload(Clock::time_point Now, Clock::duration LoopLateness);
  /// Takes a standby into service, or keeps it there, while an instance of its
  /// zone is overloaded.
  void updateRelief(Clock::time_point Now);
  /// Reads which other standbys went into service meanwhile, and goes into
  /// service if one more is needed.
  asio::awaitable<void> joinForRelief();
  /// When a request that is handled now reached this machine at the earliest.
  Clock::time_point arrivalTime() const;
  /// Logs, at most once a second, what was done with callers for lack of room.
  void logRefusedCallers(Clock::time_point Now);
  void createUsageReporter(UsageApi ReportUsage);
  /// Whether this instance may report the fleet's usage.
  bool mayReportUsage() const;

  asio::io_context &Context;
  Metrics Counters;
  TableStore Store;
  PlatformCodec Codec;
  SteeringState State;
  PeerLinks Links;
  QuotaExchange Quotas;
  OverloadSignal LoadSignal;
  SuspectRegistry Suspects;
  Gateway RequestGateway;
  StandbyForwarder Forwarder;
  RunningRequests CallerRequests;
  HttpServer CallerServer;
  HttpServer ReadinessServer;
  HttpServer LookupServer;
  HttpServer MetricsServer;
  OrderRegistry Orders;
  BackendRegistry Backends;
  MemberRegistry Members;
  MoveCoordinator Moves;
  TableRelay Relay;
  /// The store, with reads relayed through other instances.
  TableStore RelayedStore;
  TableWatch OrderTable;
  TableWatch BackendTable;
  TableWatch MemberTable;
  OwnRowWriter OwnRow;
  /// Pause of runAnnouncements(); cancelling it triggers an announcement.
  Timer AnnounceTimer;
  /// Null if the platform does not ask for usage reports.
  std::unique_ptr<UsageReporter> Usage;
  Clock::time_point StartedAt{};
  /// Callers are sent to this instance because of its size and zone, regardless
  /// of recent requests.
  bool Active = false;
  /// The instance stays in service until then, because it received requests.
  Clock::time_point InServiceUntil{};
  /// Arrival times of recent requests while the instance is not needed.
  std::deque<Clock::time_point> RecentRequests;
  /// Until then requests do not wait for the backend table, since the store did
  /// not answer.
  Clock::time_point SkipBackendRefreshUntil{};
  LoopDelay Delay{Clock::now()};
  OverloadState Overload;
  /// The last row that was written says that this instance is overloaded.
  bool OverloadWritten = false;
  StandbyTurn ReliefTurn;
  bool JoiningForRelief = false;
  /// When runLoopMonitor() may log again.
  Clock::time_point NextDelayLog{};
  /// What logRefusedCallers() has logged, and when it may log again.
  CallerCounters LoggedCallers;
  Clock::time_point NextRefusalLog{};
  bool Stopped = false;
  bool ReadyLogged = false;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_STEERINGINSTANCE_H
