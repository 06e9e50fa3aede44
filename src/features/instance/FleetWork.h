#ifndef REDWINGRACK_INSTANCE_FLEETWORK_H
#define REDWINGRACK_INSTANCE_FLEETWORK_H

#include "configuration/FleetBarrier.h"
#include "instance/PeerNetwork.h"
#include "limits/ShareAllocator.h"
#include "membership/LeaseKeeper.h"
#include "plans/PlanExecutor.h"
#include "plans/PlanServices.h"
#include "plans/PlanStore.h"

#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace rr {

class ReportExchange;
struct InstanceState;

/// What one instance at a time does for the fleet, under a lease: plans and
/// share epochs.
class FleetWork {
public:
  FleetWork(InstanceState &State, const Platform &Store,
            ReportExchange &Reports, asio::any_io_executor Executor,
            std::string Holder, std::function<void()> OnControlChange);

  /// Takes and renews the lease and divides shares.
  asio::awaitable<void> run();
  /// Carries out plans while the lease is held.
  asio::awaitable<void> runPlans() { return this->Executor.run(); }
  void stop();

  /// Takes over a share epoch from the store, or from a peer's answer.
  asio::awaitable<void> followShares(std::uint64_t Epoch);

  /// Declares an instance lost without the store. The row is written when the
  /// store is back.
  void declareLost(const std::string &Instance);

  PlanStore &plans() { return this->Plans; }
  const PlanServices &services() const { return this->Services; }
  bool holdsLease() const { return this->Lease.isHeld(Clock::now()); }

private:
  PlanServices makeServices();
  asio::awaitable<BarrierReport> awaitBarrier(ControlMark Mark,
                                              Clock::duration AtMost);
  asio::awaitable<void> recordLost();
  asio::awaitable<void> divideShares();
  asio::awaitable<bool> writeEpoch(ShareAllocation Next);
  void confirmShares(Clock::time_point Now);
  std::vector<AllocationMember> allocationMembers(Clock::time_point Now);
  /// Seconds by region, service and version.
  using Latencies =
      std::map<std::tuple<std::string, std::string, std::string>, double>;
  Latencies latencies() const;
  std::vector<RegionLoad> regionLoads() const;
  std::vector<WorkspaceLoad> workspaceLoads() const;
  std::optional<double> versionHeadroom(const std::string &Service,
                                        const std::string &Version) const;
  std::vector<VersionReport> versionReports(const std::string &Service) const;
  std::optional<std::uint64_t> outstandingAt(const std::string &Server) const;

  InstanceState &State;
  const Platform &Store;
  ReportExchange &Reports;
  std::function<void()> OnControlChange;
  LeaseKeeper Lease;
  ShareAllocator Allocator;
  PlanServices Services;
  PlanStore Plans;
  PlanExecutor Executor;
  /// When a change was first asked about, for changes that an earlier lease
  /// holder has made.
  std::map<std::uint64_t, Clock::time_point> VisibleSince;
  /// Declared lost here and not written to the store yet.
  std::set<std::string> LostToRecord;
  std::uint64_t ConfirmedEpoch = 0;
  std::optional<Clock::time_point> AdoptedAt;
  bool WasHeld = false;
  bool Stopping = false;
};

} // namespace rr

#endif // REDWINGRACK_INSTANCE_FLEETWORK_H
