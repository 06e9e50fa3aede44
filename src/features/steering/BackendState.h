#ifndef REDWINGRACK_STEERING_BACKENDSTATE_H
#define REDWINGRACK_STEERING_BACKENDSTATE_H

#include "base/Clock.h"
#include "steering/BackendRecord.h"
#include "steering/LoadSample.h"
#include "steering/ServerBacklog.h"
#include "steering/ServerLimitReport.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace rr {

/// A backend server as this instance sees it.
struct BackendState {
  BackendRecord Record;
  std::string Region;
  /// Hash of the id; the same at every instance.
  std::uint64_t Hash = 0;
  /// Requests sent by this instance that have no answer yet.
  int InFlight = 0;
  /// Last load that the server reported, and how many of those requests came
  /// from this instance.
  LoadSample Load;
  int InFlightAtLoad = 0;
  Clock::time_point LoadReportedAt{};
  /// Work that the server still has to do; used by placement by cost.
  ServerBacklog Backlog;
  /// Smoothed ratio of the observed to the expected answer time.
  double Slowness = 1;
  Clock::time_point SlownessAt{};
  /// Share of recent attempts that failed at the server.
  double FailureShare = 0;
  Clock::time_point FailureAt{};
  /// Consecutive attempts that got no connection or no answer.
  int ConsecutiveUnreachable = 0;
  /// No request is sent before this time.
  Clock::time_point RetryAt{};
  /// The server is cold, and its request rate limited, until this time.
  Clock::time_point ColdUntil{};
  /// What the server said last about its limit, to any instance.
  ServerLimitReport Limit;
  /// When this instance came to know that.
  Clock::time_point LimitKnownAt{};
  /// The server said it to this instance.
  bool HeardLimit = false;
  /// The server may have restarted unnoticed and be cold; cleared by the next
  /// entry that is read.
  bool MaybeCold = false;
  /// The entry was deleted; the state is kept for outstanding requests.
  bool Removed = false;
  /// Time of this instance's last request for each object, by object hash.
  std::unordered_map<std::uint64_t, Clock::time_point> ObjectLastUsedAt;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_BACKENDSTATE_H
