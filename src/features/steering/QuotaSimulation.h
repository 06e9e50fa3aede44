#ifndef REDWINGRACK_STEERING_QUOTASIMULATION_H
#define REDWINGRACK_STEERING_QUOTASIMULATION_H

#include "limits/TokenBucket.h"
#include "steering/MemberView.h"
#include "steering/QuotaLimiter.h"
#include "steering/QuotaSimulationLoad.h"
#include "steering/QuotaSimulationResult.h"

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace rr {

/// Simulates, on the paused clock, a fleet that enforces the rates of many
/// workspaces. Instances in three regions publish their demand through a table
/// and transfer tokens as QuotaExchange does. Each request is also offered to
/// an ideal fleet-wide bucket; a refusal is wrongful if that bucket had a
/// token.
class QuotaSimulation {
public:
  explicit QuotaSimulation(const QuotaSimulationLoad &Load);
  ~QuotaSimulation();
  QuotaSimulation(const QuotaSimulation &) = delete;
  QuotaSimulation &operator=(const QuotaSimulation &) = delete;

  /// Runs the simulation for \p Time.
  void run(Clock::duration Time);
  const QuotaSimulationResult &result() const { return this->Result; }

private:
  struct Node {
    std::string Name;
    std::string Region;
    MemberView View;
    QuotaLimiter Gate;
    /// By region.
    std::map<std::string, std::vector<std::string>> Holders;
    Clock::duration NextReadOffset{0};
    Clock::duration NextWriteOffset{0};
  };
  struct SimulatedWorkspace {
    SteeringWorkspace Workspace;
    TokenBucket Ideal;
    /// Admitted in the last window.
    std::deque<Clock::time_point> Admitted;
  };

  void step();
  void exchangeRows(Clock::time_point Now);
  void exchangeTokens(Node &Item, Clock::time_point Now);
  void offerRequest(SimulatedWorkspace &Item, Clock::time_point Now);
  bool admit(const SimulatedWorkspace &Item, Node &At, Clock::time_point Now);
  Node *holderOf(const Node &Item, const std::string &Region,
                 const std::string &Workspace);
  double demandOf(const SimulatedWorkspace &Item, Clock::time_point Now) const;
  void recordAdmitted(SimulatedWorkspace &Item, Clock::time_point Now);

  QuotaSimulationLoad Load;
  std::mt19937 Random;
  std::vector<Node> Nodes;
  std::map<std::string, Node *> NodesByName;
  std::vector<SimulatedWorkspace> SimulatedWorkspaces;
  std::map<std::string, MemberRecord> Rows;
  Clock::time_point Start;
  Clock::time_point NextExchange;
  QuotaSimulationResult Result;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_QUOTASIMULATION_H
