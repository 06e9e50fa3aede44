#ifndef REDWINGRACK_INSTANCE_ADMISSION_H
#define REDWINGRACK_INSTANCE_ADMISSION_H

#include "base/OneShotEvent.h"
#include "instance/PeerNetwork.h"
#include "limits/BorrowPlanner.h"
#include "limits/DemandMeter.h"
#include "limits/ShareAdmission.h"
#include "limits/ShareMove.h"

#include <map>
#include <memory>
#include <string>

namespace rr {

class Metrics;
struct InstanceState;

/// Admits requests within the shares of this instance, and carries the
/// messages by which shares move between instances.
class Admission {
public:
  Admission(InstanceState &State, const PeerNetwork &Network,
            asio::any_io_executor Executor, Metrics &Counters);

  /// Takes one token of the workspace, if need be a borrowed one.
  /// Errc::LimitReached when the fleet has none, Errc::Stale without a
  /// freshness proof.
  asio::awaitable<Outcome<void>> admit(std::string Workspace,
                                       Clock::time_point Deadline);

  /// Answers a move of shares that another instance asks for or makes.
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
  struct Pending;

  void carryOut(const AdmissionActions &Step);
  void finish(std::uint64_t Id, Outcome<void> Result);
  void scheduleWake();
  asio::awaitable<void> wakeAt(Clock::time_point Time);
  asio::awaitable<void> borrowFrom(BorrowRequest Request);
  asio::awaitable<void> deliver(ShareGrant Grant);

  InstanceState &State;
  const PeerNetwork &Network;
  asio::any_io_executor Executor;
  Metrics &Counters;
  DemandMeter Demand;
  BorrowPlanner Planner;
  ShareAdmission Gate;
  std::map<std::uint64_t, std::shared_ptr<Pending>> Requests;
  std::uint64_t LastId = 0;
  std::optional<Clock::time_point> NextWake;
};

} // namespace rr

#endif // REDWINGRACK_INSTANCE_ADMISSION_H
