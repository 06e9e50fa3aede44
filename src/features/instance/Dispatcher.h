#ifndef REDWINGRACK_INSTANCE_DISPATCHER_H
#define REDWINGRACK_INSTANCE_DISPATCHER_H

#include "instance/BackendNetwork.h"
#include "instance/PeerNetwork.h"
#include "instance/PeerPublisher.h"
#include "instance/RequestQueue.h"
#include "quarantine/CrashGuard.h"
#include "rollout/VersionStop.h"

#include <map>
#include <memory>
#include <string>

namespace rr {

struct DispatchJob;
class LinkKeeper;
class Metrics;
class SpanExporter;
struct InstanceState;

/// Carries out routing decisions: sends a request to an owned backend server,
/// to the owner of one, or to another region, and queues it while nothing has
/// room.
class Dispatcher {
public:
  Dispatcher(InstanceState &State, const PeerNetwork &Network,
             const BackendNetwork &Servers, LinkKeeper &Links,
             CrashGuard &Guard, asio::any_io_executor Executor,
             Metrics &Counters, SpanExporter *Spans);

  /// One attempt for a request that entered here.
  asio::awaitable<DispatchResult> dispatch(DispatchRequest Request);
  /// A request that another instance passed on; answers with `forward`'s
  /// result.
  asio::awaitable<Outcome<nlohmann::json>> onForward(nlohmann::json Body,
                                                     Clock::time_point Deadline,
                                                     CancellationPtr Cancel);

  /// A suspect request that another instance passed on for its single run.
  asio::awaitable<Outcome<nlohmann::json>> onTrial(nlohmann::json Body,
                                                   Clock::time_point Deadline,
                                                   CancellationPtr Cancel);

  /// Tells all linked instances.
  void publish(const std::string &Method, const nlohmann::json &Body);
  /// Stops a version here and tells the others.
  void stopVersion(const VersionStop &Stop);
  /// Takes over the stop of a version by another instance.
  void onVersionStop(const nlohmann::json &Body);
  void onSuspect(const nlohmann::json &Body);
  /// Sets the weights of the queues from the configuration.
  void configure();
  std::size_t queued() const;

private:
  asio::awaitable<DispatchResult> run(std::shared_ptr<DispatchJob> Work);
  asio::awaitable<Outcome<RouteDecision>>
  decide(std::shared_ptr<DispatchJob> Work);
  asio::awaitable<DispatchResult> runLocal(std::shared_ptr<DispatchJob> Work,
                                           SlotLease Slot);
  asio::awaitable<DispatchResult> runForward(std::shared_ptr<DispatchJob> Work,
                                             ForwardLease Peer,
                                             std::string Version);
  asio::awaitable<DispatchResult> runSpill(std::shared_ptr<DispatchJob> Work,
                                           std::string Region);
  asio::awaitable<DispatchResult> callOwner(std::shared_ptr<DispatchJob> Work,
                                            std::string Peer,
                                            std::string Version, bool Spilled);
  asio::awaitable<DispatchResult>
  runAtTrialOwner(std::shared_ptr<DispatchJob> Work, std::string Owner);
  asio::awaitable<void> reviewCrash(DispatchRequest Request,
                                    BackendServer Server,
                                    Clock::time_point Started);
  bool tryPlace(QueueEntry &Entry);
  RequestQueue &queueOf(const std::string &Service);
  std::string liveInstanceIn(const std::string &Region);
  void noteAnswer(const DispatchRequest &Request, const DispatchResult &Result,
                  Clock::time_point Started);
  std::string trialOwnerOf(const std::string &Fingerprint);
  asio::awaitable<void> publishSuspects(std::vector<SuspectMessage> News);

  InstanceState &State;
  const PeerNetwork &Network;
  const BackendNetwork &Servers;
  LinkKeeper &Links;
  CrashGuard &Guard;
  asio::any_io_executor Executor;
  PeerPublisher Peers;
  Metrics &Counters;
  SpanExporter *Spans;
  std::map<std::string, std::unique_ptr<RequestQueue>> Queues;
};

} // namespace rr

#endif // REDWINGRACK_INSTANCE_DISPATCHER_H
