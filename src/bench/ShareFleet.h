#ifndef REDWINGRACK_BENCH_SHAREFLEET_H
#define REDWINGRACK_BENCH_SHAREFLEET_H

#include "base/Random.h"
#include "bench/EventLoop.h"
#include "bench/LimitsTally.h"
#include "bench/ShareNode.h"
#include "limits/ShareAllocator.h"
#include "limits/ShareMove.h"

#include <memory>

namespace rr {

/// Twelve instances with conserved shares. Each is a relay of its zone;
/// instance 0 holds the lease of the allocator, and the store is in its
/// region.
class ShareFleet {
public:
  ShareFleet(const LimitsScenario &Scenario, EventLoop &Loop,
             LimitsTally &Tally);

  void arrive(std::size_t Workspace, std::size_t Instance);

  /// Part of a workspace's rate that an instance holds now.
  double heldPart(std::size_t Workspace, std::size_t Instance);
  std::uint64_t epochs() const { return this->Store.Epoch; }
  std::uint64_t shareMessages() const { return this->ShareMessages; }

private:
  bool isCut() const;
  bool canReach(std::size_t From, std::size_t To) const;
  void send(std::size_t From, std::size_t To, std::function<void()> Task);
  void sendMove(std::size_t From, const ShareHolder &To, const ShareMove &Move);
  void handle(std::size_t Instance, const ShareRelease &Request);
  void handle(std::size_t Instance, const BorrowRequest &Request);
  void handle(std::size_t Instance, const ShareGrant &Grant);
  void carryOut(std::size_t Instance, const AdmissionActions &Step);
  void scheduleWake(std::size_t Instance);

  void startTimers(std::size_t Instance);
  void exchange(std::size_t Instance);
  void sendHeartbeat(std::size_t Instance);
  void sendSummaries(std::size_t Relay);
  void balance(std::size_t Relay);
  void readStore(std::size_t Instance);
  void allocate();
  void checkBarrier();
  void kill();
  void restart();

  const LimitsScenario &Scenario;
  EventLoop &Loop;
  LimitsTally &Tally;
  RandomEngine Random;
  std::vector<std::unique_ptr<ShareNode>> Nodes;
  ShareAllocation Store;
  ShareAllocation Previous;
  ShareAllocator Allocator;
  std::set<ShareHolder> Ended;
  std::uint64_t ShareMessages = 0;
};

} // namespace rr

#endif // REDWINGRACK_BENCH_SHAREFLEET_H
