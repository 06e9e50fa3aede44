#ifndef REDWINGRACK_INSTANCE_INSTANCECORE_H
#define REDWINGRACK_INSTANCE_INSTANCECORE_H

#include "forwarding/RequestPipeline.h"
#include "idempotency/ClaimStore.h"
#include "instance/Admission.h"
#include "instance/BackendNetwork.h"
#include "instance/Dispatcher.h"
#include "instance/FleetWork.h"
#include "instance/InstanceOptions.h"
#include "instance/InstanceState.h"
#include "instance/LinkKeeper.h"
#include "instance/LoadPoller.h"
#include "instance/LookupService.h"
#include "instance/OperatorService.h"
#include "instance/PeerNetwork.h"
#include "instance/ReportExchange.h"
#include "quarantine/CrashGuard.h"

#include <set>
#include <string>

namespace rr {

class Metrics;
class SpanExporter;

/// One instance without sockets: callers, peers, backend servers and the
/// platform are reached through functions, so that many instances run in one
/// process under test.
class InstanceCore {
public:
  /// \p Counters and \p Spans outlive the object; Spans may be null.
  InstanceCore(asio::any_io_executor Executor, InstanceOptions Options,
               Platform Store, PeerNetwork Network, BackendNetwork Servers,
               Metrics &Counters, SpanExporter *Spans);
  InstanceCore(const InstanceCore &) = delete;
  InstanceCore &operator=(const InstanceCore &) = delete;

  void start();

  /// Leaves the fleet: no longer listed in look-ups, owns no backend server,
  /// goes on serving for the grace time. Returns when nothing runs any more or
  /// the longest stop time has passed; then everything has stopped.
  asio::awaitable<void> leave();
  /// Stops all work at once, for the end of a test.
  void stopNow();

  /// A request of a caller, look-ups included.
  asio::awaitable<HttpResponse> handleCaller(HttpServerRequest Request);
  AdminServices adminServices() { return this->Operators.services(); }

  /// A one-way message of a peer.
  void onMessage(const std::string &Peer, const std::string &Method,
                 const nlohmann::json &Body);
  /// A call of a peer. Errc::Malformed for a body that cannot be read,
  /// Errc::NotFound for an unknown method.
  asio::awaitable<Outcome<nlohmann::json>>
  onCall(std::string Peer, std::string Method, nlohmann::json Body,
         Clock::time_point Deadline, CancellationPtr Cancel);

  const InstanceState &state() const { return this->State; }
  InstanceState &state() { return this->State; }
  std::size_t running() const { return this->Running; }
  const ReportExchange &reports() const { return this->Reports; }

private:
  RequestServices requestServices();
  KeyDecision authenticate(const std::string &Key);
  asio::awaitable<void> runTicks();
  asio::awaitable<void> runRouting();
  asio::awaitable<void> runAnnouncements();
  asio::awaitable<void> runClaimReleases();
  asio::awaitable<Outcome<nlohmann::json>>
  callControl(std::string Peer, std::string Method, nlohmann::json Body);
  asio::awaitable<void> announce();
  /// Tells the store that this instance has left.
  asio::awaitable<void> recordLeft();
  void noteEjections();
  void updateMetrics(Clock::time_point Now);
  void handOver(Clock::time_point Now);
  void onControlChange();
  void noteAdmitted(const DispatchRequest &Request);

  asio::any_io_executor Executor;
  InstanceOptions Options;
  Platform Store;
  PeerNetwork Network;
  BackendNetwork Servers;
  Metrics &Counters;
  SpanExporter *Spans;
  InstanceState State;
  LinkKeeper Links;
  CrashGuard Guard;
  ClaimStore Claims;
  Admission Limits;
  ReportExchange Reports;
  Dispatcher Dispatch;
  FleetWork Work;
  LoadPoller Loads;
  LookupService Lookups;
  OperatorService Operators;
  RequestPipeline Pipeline;
  /// Owned servers that were ejected at the last look.
  std::set<std::string> Ejected;
  std::uint64_t SpansDropped = 0;
  bool WasStoreDown = false;
  bool WasFresh = false;
  bool EverFresh = false;
  std::uint64_t ConfigSeen = 0;
  std::size_t Running = 0;
  bool Stopping = false;
};

} // namespace rr

#endif // REDWINGRACK_INSTANCE_INSTANCECORE_H
