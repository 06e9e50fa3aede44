#ifndef REDWINGRACK_GATEWAY_REMOVEDSERVER_H
#define REDWINGRACK_GATEWAY_REMOVEDSERVER_H

#include "base/Clock.h"
#include "tables/StoreVersion.h"

#include <cstdint>

namespace rr {

/// A backend server whose row was removed.
struct RemovedServer {
  /// Time for which a removal is remembered: several times the age of a copy,
  /// which is some seconds old when the store comes back from it.
  static constexpr Clock::duration Memory = std::chrono::seconds(30);
  /// The store removes the row of a silent server after three heartbeat
  /// intervals, 4.5 s. The rest covers the delay of its removal and one read.
  /// A row that is there for longer belongs to a server that is alive.
  static constexpr Clock::duration SilenceTime = std::chrono::seconds(6);

  /// See BackendRecord::StartTimeMs.
  std::int64_t StartTimeMs = 0;
  /// Version of the read by which the row was removed.
  StoreVersion RemovedBy;
  Clock::time_point RemovedAt{};
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_REMOVEDSERVER_H
