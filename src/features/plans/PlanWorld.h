#ifndef REDWINGRACK_PLANS_PLANWORLD_H
#define REDWINGRACK_PLANS_PLANWORLD_H

#include "plans/FakeFleet.h"
#include "plans/PlanExecutor.h"
#include "plans/PlanStore.h"
#include "testing/TestLoop.h"

#include <functional>
#include <memory>
#include <string>

namespace rr {

/// A small fleet on the paused clock, for tests and measurements of plans:
/// three regions, two of whose instances can hold the lease.
class PlanWorld {
public:
  /// One instance that serves operators and can hold the lease.
  struct Node {
    Node(PlanWorld &World, const std::string &Name);

    /// The process has ended or cannot reach the store.
    bool Cut = false;
    Platform Calls;
    PlanServices Services;
    PlanStore Plans;
    PlanExecutor Executor;
    bool Runs = false;
  };

  explicit PlanWorld(int Instances = 6);
  ~PlanWorld();

  /// Gives \p Holder the lease; its executor runs until the end.
  void hold(Node &Holder);

  /// Moves the clock, the executors and the propagation of configurations.
  void advance(Clock::duration Time);
  /// Advances until the plan has ended, at most for \p Most.
  Plan runUntilEnded(const std::string &Id, Clock::duration Most);

  /// Runs one operator's request to its end.
  PlanAnswer ask(std::function<asio::awaitable<PlanAnswer>()> Request);
  PlanAnswer propose(const Intent &Wish);
  /// Proposes and confirms; the plan's id.
  std::string start(const Intent &Wish);
  Plan plan(const std::string &Id);
  WallTime wallIn(std::chrono::seconds Time) const;
  std::vector<std::string> names() const { return this->Names; }

  TestLoop Loop;
  FakePlatform Store;
  std::vector<std::string> Names;
  FakeFleet Fleet;
  Node One;
  Node Two;
  /// Called after each step of 100 ms.
  std::function<void()> OnTick;
};

/// Three regions with two zones each, workspaces w0 to w7 and the service
/// `stock` with servers of versions 1 and 2.
FleetConfig sampleFleet();

} // namespace rr

#endif // REDWINGRACK_PLANS_PLANWORLD_H
