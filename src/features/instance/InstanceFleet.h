#ifndef REDWINGRACK_INSTANCE_INSTANCEFLEET_H
#define REDWINGRACK_INSTANCE_INSTANCEFLEET_H

#include "instance/FakeServer.h"
#include "instance/FleetObserver.h"
#include "instance/InstanceCore.h"
#include "telemetry/Metrics.h"
#include "testing/FakePlatform.h"
#include "testing/TestLoop.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rr {

/// Several instances in one process on the paused clock, with a network, a
/// store and backend servers that fail on demand. For tests only.
class InstanceFleet {
public:
  struct Node {
    std::string Name;
    std::string Zone;
    std::uint64_t Incarnation = 0;
    std::unique_ptr<Metrics> Counters;
    std::unique_ptr<InstanceCore> Core;
    bool Running = false;
    /// The process ended and its host answers nothing any more.
    bool HostSilent = false;
    bool StoreCut = false;
    /// Instances in different groups cannot reach each other.
    int Group = 0;
  };

  /// Zones a1, a2 in region a and b1 in region b; two instances in a1, one in
  /// each other zone; two servers of each service in a1, one elsewhere.
  InstanceFleet();
  ~InstanceFleet();

  void start(const std::string &Name);
  /// The process ends at once.
  void kill(const std::string &Name, bool HostSilent = false);
  /// Starts all, loads the configuration, issues the key, waits for shares.
  void bringUp();
  void advance(Clock::duration Time);

  /// Sends a request to an instance and waits for the answer.
  HttpResponse request(const std::string &Instance, const std::string &Path,
                       const std::string &Method = "GET",
                       const HttpHeaders &Extra = {});
  /// Starts a request; the answer comes into the result.
  std::shared_ptr<HttpResponse> begin(const std::string &Instance,
                                      const std::string &Path,
                                      const std::string &Method = "GET",
                                      const HttpHeaders &Extra = {});
  AdminReply propose(const std::string &Instance, const std::string &Intent);
  AdminReply confirm(const std::string &Instance, const std::string &Plan);
  AdminReply takeBack(const std::string &Instance, const std::string &Plan);
  AdminReply show(const std::string &Instance, const std::string &Plan);
  /// Plans and confirms; the id of the plan, empty when it was refused.
  std::string carryOut(const std::string &Instance, const std::string &Intent);
  std::string stateOf(const std::string &Instance, const std::string &Plan);

  InstanceCore &core(const std::string &Name) {
    return *this->Nodes.at(Name).Core;
  }
  /// Runs of the request over all servers.
  int runsOf(const std::string &RequestId) const;

  TestLoop Loop;
  FakePlatform Store;
  /// Records what callers, servers and operators see.
  FleetObserver Observer;
  std::map<std::string, Node> Nodes;
  std::map<std::string, FakeServer> Servers;
  /// One way between instances.
  Clock::duration PeerLatency = std::chrono::milliseconds(1);
  /// Seeds of the instances that are started from now on.
  std::vector<PeerSeed> Seeds;
  std::string Key = "fleet-test-key";
  /// Texts of a key that a server has received.
  int KeysSeen = 0;
  /// Longest time that a call may take before the loop gives up.
  Clock::duration Patience = std::chrono::seconds(40);

private:
  PeerNetwork networkOf(const std::string &Name);
  BackendNetwork serversOf();
  asio::awaitable<Outcome<nlohmann::json>>
  call(std::string From, std::string To, std::string Method,
       nlohmann::json Body, Clock::time_point Deadline, CancellationPtr Cancel);
  asio::awaitable<void> send(std::string From, std::string To,
                             std::string Method, nlohmann::json Body);
  asio::awaitable<DispatchResult> attempt(BackendServer Server,
                                          DispatchRequest Request);
  void observe();
  bool canReach(const Node &From, const Node &To) const;
  AdminReply admin(std::function<asio::awaitable<AdminReply>()> Call);

  /// Ended processes; their coroutines may still be waiting.
  std::vector<std::unique_ptr<InstanceCore>> Ended;
  std::vector<std::unique_ptr<Metrics>> EndedCounters;
  std::uint64_t Incarnations = 0;
  std::uint64_t Requests = 0;
  std::uint64_t ConfigSeen = 0;
  Clock::time_point NextObservation = Clock::time_point::min();
};

/// Intents as JSON text, for tests.
std::string intentText(const std::string &Kind, const std::string &Members);

} // namespace rr

#endif // REDWINGRACK_INSTANCE_INSTANCEFLEET_H
