#ifndef REDWINGRACK_STEERING_QUOTAFLEET_H
#define REDWINGRACK_STEERING_QUOTAFLEET_H

#include "limits/TokenBucket.h"
#include "steering/MemberView.h"
#include "steering/QuotaGate.h"
#include "steering/QuotaLoad.h"
#include "steering/QuotaTally.h"

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace rr {

/// Simulation of a fleet that holds the rates of many workspaces, on the
/// paused clock: instances in three regions that publish their demand through
/// a table, and pass tokens on as QuotaExchange does. Each request is also
/// given to one ideal bucket for the whole fleet; a refusal is wrongful when
/// that bucket had room.
class QuotaFleet {
public:
  explicit QuotaFleet(const QuotaLoad &Load);
  ~QuotaFleet();
  QuotaFleet(const QuotaFleet &) = delete;
  QuotaFleet &operator=(const QuotaFleet &) = delete;

  /// Plays the load for a time.
  void play(Clock::duration Time);
  const QuotaTally &tally() const { return this->Tally; }

private:
  struct Node {
    std::string Name;
    std::string Region;
    MemberView View;
    QuotaGate Gate;
    /// By region.
    std::map<std::string, std::vector<std::string>> Holders;
    Clock::duration ReadAt{0};
    Clock::duration WriteAt{0};
  };
  struct Subject {
    SteeringWorkspace Workspace;
    TokenBucket Ideal;
    /// Admitted in the last window.
    std::deque<Clock::time_point> Admitted;
  };

  void step();
  void exchangeRows(Clock::time_point Now);
  void passTokens(Node &Item, Clock::time_point Now);
  void offer(Subject &Item, Clock::time_point Now);
  bool admit(const Subject &Item, Node &At, Clock::time_point Now);
  Node *holderOf(const Node &Item, const std::string &Region,
                 const std::string &Workspace);
  double demandOf(const Subject &Item, Clock::time_point Now) const;
  void noteAdmitted(Subject &Item, Clock::time_point Now);

  QuotaLoad Load;
  std::mt19937 Random;
  std::vector<Node> Nodes;
  std::map<std::string, Node *> NodesByName;
  std::vector<Subject> Subjects;
  std::map<std::string, MemberRecord> Rows;
  Clock::time_point Start;
  Clock::time_point NextPass;
  QuotaTally Tally;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_QUOTAFLEET_H
