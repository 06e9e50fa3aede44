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

/// Selects the version of one service for each request at this instance, and
/// monitors the answers of a new version.
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
  /// Applies the shared state of the move.
  void adoptMove(const VersionMove &Move);
  /// Updates the versions that the servers have. A version that appears without
  /// an order gets no requests for some seconds, in which an order may arrive.
  void updatePresentVersions(const std::set<std::string> &Present,
                             Clock::time_point Now);

  Choice choose(const std::string &Route, Clock::time_point Now);

  /// Records an answer. Returns true if this proves the target bad.
  bool record(const std::string &Route, const std::string &Version, bool Failed,
              bool Slow, Clock::time_point Now);
  /// Applies the counts of another instance. Returns true if they prove the
  /// target bad.
  bool observe(const std::string &Source, const MoveReport &Report,
               Clock::time_point Now);

  bool isStopped() const { return this->Stopped; }
  /// Whether the target performs worse so far, overall or on one route,
  /// although not yet with statistical significance.
  bool isSuspect() const;
  const std::optional<VersionOrder> &currentOrder() const {
    return this->Order;
  }
  const std::optional<VersionMove> &move() const { return this->Move; }
  /// Report for the other instances; empty without a running move.
  std::optional<MoveReport> report() const;
  /// Requests that the target has answered at all known instances.
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
  /// Requests by route, halved periodically.
  std::map<std::string, double> RouteRequests;
  std::map<std::string, double> TargetCredits;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_VERSIONSTEERING_H
