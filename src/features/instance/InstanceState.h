#ifndef REDWINGRACK_INSTANCE_INSTANCESTATE_H
#define REDWINGRACK_INSTANCE_INSTANCESTATE_H

#include "instance/RoutingState.h"
#include "keys/ControlNode.h"
#include "limits/ShareAllocation.h"
#include "limits/ShareLedger.h"

#include <optional>

namespace rr {

/// What one instance holds: control state, shares and routing.
struct InstanceState {
  InstanceState(const asio::any_io_executor &Executor, const Member &Self,
                const Platform &Store, ControlNode::PeerCall Call,
                std::uint64_t Seed);
  InstanceState(const InstanceState &) = delete;
  InstanceState &operator=(const InstanceState &) = delete;

  ControlNode Control;
  ShareLedger Shares;
  /// The share epoch in force here, for instances that ask for it.
  std::optional<ShareAllocation> Allocation;
  RoutingState Routing;
  /// A stop was asked for: nothing new is owned, look-ups leave this out.
  bool Leaving = false;
};

/// Lets the shares be used as long as the freshness proof holds.
void refreshProof(InstanceState &State, Clock::time_point Now);

/// The state as the administration API and the metrics name it.
const char *nameOf(MemberState State);

bool isFresh(const InstanceState &State, Clock::time_point Now);

/// Takes over a share epoch; one that is not newer changes nothing.
Outcome<void> adoptShares(InstanceState &State, const ShareAllocation &Epoch,
                          Clock::time_point Now);

/// Configuration in force; null before the first one.
std::shared_ptr<const FleetConfig> configOf(const InstanceState &State);

/// Region of a zone; empty when unknown.
std::string regionOf(const InstanceState &State, const std::string &Zone);

/// Names of the members that are live, this one included.
std::vector<const MemberEntry *> liveMembers(InstanceState &State,
                                             Clock::time_point Now);

} // namespace rr

#endif // REDWINGRACK_INSTANCE_INSTANCESTATE_H
