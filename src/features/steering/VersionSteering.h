#ifndef REDWINGRACK_STEERING_VERSIONSTEERING_H
#define REDWINGRACK_STEERING_VERSIONSTEERING_H

#include "base/Clock.h"
#include "rollout/VersionComparison.h"
#include "steering/MoveReport.h"
#include "steering/VersionMove.h"
#include "steering/VersionOrder.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace rr {

/// Chooses between the versions of one service at this instance, and watches
/// a new version's answers.
class VersionSteering {
public:
  /// Which versions a request may go to.
  struct Choice {
    /// Only this version, when set.
    std::optional<std::string> Only;
    std::set<std::string> Avoided;
  };

  /// \p Present are the versions that the service's servers have now.
  void setOrder(const VersionOrder &Order,
                const std::set<std::string> &Present);
  /// Takes the shared state of the move.
  void adoptMove(const VersionMove &Move);
  /// Versions that appear without an order wait a moment for one.
  void updatePresentVersions(const std::set<std::string> &Present,
                             Clock::time_point Now);

  Choice choose(const std::string &Route, Clock::time_point Now);

  /// Counts an answer. Returns true when the target is now known to be bad.
  bool record(const std::string &Route, const std::string &Version, bool Failed,
              bool Slow, Clock::time_point Now);
  /// Takes what another instance counted. Returns true as record() does.
  bool observe(const std::string &Source, const MoveReport &Report,
               Clock::time_point Now);

  bool isStopped() const { return this->Stopped; }
  /// The target does worse so far, on all routes or on one, although that may
  /// still be chance.
  bool isSuspect() const;
  const std::optional<VersionOrder> &currentOrder() const {
    return this->Order;
  }
  const std::optional<VersionMove> &move() const { return this->Move; }
  /// For the other instances; empty without a running move.
  std::optional<MoveReport> report() const;
  /// Candidate requests that all known instances together have seen.
  std::uint64_t candidateRequests() const;

private:
  bool checkStop(Clock::time_point Now);
  double targetShare(const std::string &Route);

  std::optional<VersionOrder> Order;
  std::optional<VersionMove> Move;
  std::set<std::string> ServingVersions;
  std::map<std::string, Clock::time_point> WaitingSince;
  bool Stopped = false;
  std::optional<VersionComparison> Comparison;
  VersionStats Stats;
  /// Counts of the other instances.
  std::map<std::string, VersionStats> OtherStats;
  /// Requests by route, halved now and then.
  std::map<std::string, double> RouteRequests;
  std::map<std::string, double> TargetCredits;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_VERSIONSTEERING_H
