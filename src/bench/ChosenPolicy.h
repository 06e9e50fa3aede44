#ifndef REDWINGRACK_BENCH_CHOSENPOLICY_H
#define REDWINGRACK_BENCH_CHOSENPOLICY_H

#include "bench/RoutingSimulation.h"
#include "routing/OwnerTable.h"
#include "routing/Router.h"
#include "routing/SpillGrantor.h"

#include <deque>
#include <map>

namespace rr {

/// The Router at twelve instances, with the messages between them.
class ChosenPolicy {
public:
  explicit ChosenPolicy(RoutingSimulation &Simulation);
  RoutingPolicy functions();

private:
  /// One instance.
  struct Node {
    Node(const OwnerMember &Self)
        : Owners(Self.Name), Routes(Self.Name, Self.Zone, Self.Region) {}
    OwnerTable Owners;
    Router Routes;
    std::vector<std::deque<SimRequestPtr>> Queues;
    /// Requests from other regions since the last report, by service.
    std::vector<std::uint64_t> SpilledIn;
  };
  using Reply = std::function<void(RequestOutcome, bool Refused)>;

  void dispatch(std::size_t At, const SimRequestPtr &Request);
  void runLocal(std::size_t At, const SimRequestPtr &Request, SlotLease Slot,
                Reply Done);
  void forward(std::size_t At, const SimRequestPtr &Request, ForwardLease Peer);
  void spill(std::size_t At, const SimRequestPtr &Request,
             const std::string &Region);
  void finish(std::size_t At, const SimRequestPtr &Request,
              RequestOutcome Outcome, bool Refused);
  RouteRequest describe(std::size_t At, const SimRequest &Request) const;
  void drainQueues(std::size_t At);
  void report();
  void reportServers();
  void reportPeers();
  void exchangeCredits();
  std::vector<SpillAsk> collectAsks(std::vector<std::vector<double>> &Demands);
  std::vector<SpillSupply> collectSupplies(std::size_t Region) const;

  RoutingSimulation &Simulation;
  std::vector<Node> Nodes;
  std::map<std::string, std::size_t, std::less<>> InstanceNumbers;
  std::map<std::string, std::size_t, std::less<>> ServerNumbers;
  /// Four relays grant for each region.
  std::vector<std::vector<SpillGrantor>> Grantors;
};

} // namespace rr

#endif // REDWINGRACK_BENCH_CHOSENPOLICY_H
