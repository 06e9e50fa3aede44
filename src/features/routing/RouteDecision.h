#ifndef REDWINGRACK_ROUTING_ROUTEDECISION_H
#define REDWINGRACK_ROUTING_ROUTEDECISION_H

#include "routing/ForwardLease.h"
#include "routing/SlotLease.h"

#include <string>

namespace rr {

/// Where a request goes.
struct RouteDecision {
  enum class Kind {
    /// To an owned server; Slot holds its slot.
    Local,
    /// To another owner of the region; Peer counts it.
    Forward,
    /// To any instance of another region; its credit is spent.
    Spill,
    /// Into the queue of this instance; EstimatedWait fits in the deadline.
    Queue,
    /// Nowhere, nothing was sent.
    Refuse,
  };

  Kind Where = Kind::Refuse;
  std::string Version;
  SlotLease Slot;
  ForwardLease Peer;
  /// Target of Spill.
  std::string Region;
  /// The own region could not serve the request in time, and its overflow
  /// count has it.
  bool Overflowed = false;
  /// For Queue and Refuse; a caller may come back after that time.
  Clock::duration EstimatedWait{0};
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_ROUTEDECISION_H
