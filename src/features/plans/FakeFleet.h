#ifndef REDWINGRACK_PLANS_FAKEFLEET_H
#define REDWINGRACK_PLANS_FAKEFLEET_H

#include "plans/PlanServices.h"
#include "testing/FakePlatform.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rr {

/// Stand-in for the rest of the fleet: a configuration in the fake store that
/// the instances adopt after a delay, a lease, and measurements that tests
/// set.
class FakeFleet {
public:
  FakeFleet(FakePlatform &Store, const FleetConfig &First,
            std::vector<std::string> Instances);

  /// Services at one instance, which uses the store through \p Calls.
  PlanServices services(const std::string &Instance, const Platform &Calls);

  /// Gives the lease to an instance with the next fence.
  void giveLease(const std::string &Instance);

  /// Lets the instances adopt what is due at the current time.
  void propagate();

  /// Puts a configuration into the store past all plans.
  void replace(const FleetConfig &Next);

  /// The configuration that the store holds.
  FleetConfig current() const;
  /// The one that an instance uses.
  const FleetConfig &adopted(const std::string &Instance) const;
  WallTime wallNow() const;

  /// Time from a commit to its adoption.
  Clock::duration AdoptionDelay = std::chrono::milliseconds(300);
  /// Time after which an instance without contact refuses keyed requests.
  Clock::duration ProofTime = std::chrono::seconds(4);
  /// Instances that adopt nothing.
  std::set<std::string> Silent;
  std::vector<RegionLoad> Regions;
  std::vector<WorkspaceLoad> Workspaces;
  std::optional<double> FreeOfVersion;
  std::vector<VersionReport> Reports;
  std::map<std::string, VersionStop> Stops;
  std::map<std::string, std::uint64_t> Running;
  /// Called for each adoption of a configuration by an instance.
  std::function<void(const std::string &Instance, const FleetConfig &)> OnAdopt;
  /// Called right before a commit reaches the store.
  std::function<void()> BeforeCommit;

private:
  asio::awaitable<Outcome<ControlMark>> commit(Platform Calls,
                                               ControlChange Wanted);
  BarrierReport barrier(const ControlMark &Mark) const;
  FleetConfig configOf(std::uint64_t Version) const;

  FakePlatform &Store;
  Clock::time_point Begin;
  std::map<std::string, std::shared_ptr<const FleetConfig>> Copies;
  std::map<std::string, std::uint64_t> Fences;
  /// Time at which each configuration and key set version was first seen.
  std::map<std::uint64_t, Clock::time_point> ConfigTimes;
  std::map<std::uint64_t, Clock::time_point> KeyTimes;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_FAKEFLEET_H
