#ifndef REDWINGRACK_INSTANCE_ADMISSION_H
#define REDWINGRACK_INSTANCE_ADMISSION_H

#include "base/OneShotEvent.h"
#include "instance/PeerNetwork.h"
#include "limits/BorrowPlanner.h"
#include "limits/DemandMeter.h"
#include "limits/ShareMove.h"

#include <map>
#include <memory>
#include <string>

namespace rr {

class Metrics;
struct InstanceState;

/// Admits requests within the shares of this instance and borrows tokens of
/// other instances when they are used up.
class Admission {
public:
  Admission(InstanceState &State, const PeerNetwork &Network,
            asio::any_io_executor Executor, Metrics &Counters);

  /// Takes one token of the workspace. Errc::LimitReached when the fleet has
  /// none, Errc::Stale without a freshness proof.
  asio::awaitable<Outcome<void>> admit(std::string Workspace,
                                       Clock::time_point Deadline);

  /// Answers a borrow or release request of another instance.
  Outcome<nlohmann::json> onShareMove(const nlohmann::json &Body);

  /// What this instance holds and is asked for, for its relays.
  DemandReport report(Clock::time_point Now);
  /// Takes the report of another instance, to borrow from it later.
  void noteReport(const DemandReport &Report, Clock::time_point Now);
  /// Carries out what a relay asked for: releases shares to the receiver.
  asio::awaitable<void> release(ShareRelease Request);
  /// Gives all shares to other instances before this one stops.
  asio::awaitable<void> surrender();

private:
  struct Borrow;

  asio::awaitable<void> borrow(std::string Workspace);
  asio::awaitable<void> borrowFrom(BorrowRequest Request,
                                   std::shared_ptr<Borrow> Running);
  asio::awaitable<void> deliver(ShareGrant Grant);
  asio::awaitable<Outcome<void>> waitForToken(std::string Workspace,
                                              Clock::time_point Deadline);

  InstanceState &State;
  const PeerNetwork &Network;
  asio::any_io_executor Executor;
  Metrics &Counters;
  DemandMeter Demand;
  BorrowPlanner Planner;
  /// At most one round of borrowing for each workspace.
  std::map<std::string, std::shared_ptr<Borrow>> Borrows;
  /// Requests that wait for a token, by workspace.
  std::map<std::string, std::size_t> Waiting;
};

} // namespace rr

#endif // REDWINGRACK_INSTANCE_ADMISSION_H
