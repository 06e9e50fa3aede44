#ifndef REDWINGRACK_INSTANCE_QUEUEENTRY_H
#define REDWINGRACK_INSTANCE_QUEUEENTRY_H

#include "base/Cancellation.h"
#include "base/OneShotEvent.h"
#include "routing/RouteDecision.h"
#include "routing/RouteRequest.h"

#include <string>

namespace rr {

/// A request in a RequestQueue.
struct QueueEntry {
  explicit QueueEntry(const asio::any_io_executor &Executor) : Done(Executor) {}

  std::string Workspace;
  RouteRequest Request;
  /// Set once Placed is true.
  RouteDecision Decision;
  bool Placed = false;
  CancellationPtr Cancel;
  OneShotEvent Done;
};

} // namespace rr

#endif // REDWINGRACK_INSTANCE_QUEUEENTRY_H
