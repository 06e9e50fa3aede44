#ifndef REDWINGRACK_STEERING_BACKENDSTATE_H
#define REDWINGRACK_STEERING_BACKENDSTATE_H

#include "base/Clock.h"
#include "steering/BackendRecord.h"
#include "steering/LoadSample.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace rr {

/// A backend server as this instance sees it.
struct BackendState {
  BackendRecord Record;
  std::string Region;
  /// Of the id; the same at every instance.
  std::uint64_t Hash = 0;
  /// Requests of this instance that the server has not answered.
  int InFlight = 0;
  /// Last load that the server reported, with this instance's part of it.
  LoadSample Load;
  int InFlightAtLoad = 0;
  Clock::time_point LoadReportedAt{};
  /// Observed time of an answer against the time expected for its route.
  double Slowness = 1;
  Clock::time_point SlownessAt{};
  /// Share of recent attempts that failed at the server.
  double FailureShare = 0;
  Clock::time_point FailureAt{};
  /// Consecutive attempts without a connection or an answer.
  int ConsecutiveUnreachable = 0;
  /// Gets no request before.
  Clock::time_point RetryAt{};
  /// Bears few requests before.
  Clock::time_point ColdUntil{};
  /// May have become cold without this instance knowing; cleared by an entry
  /// that was written since.
  bool MaybeCold = false;
  /// The server has left, but answers to requests are still outstanding.
  bool Removed = false;
  /// Last time that this instance sent a request for an object here.
  std::unordered_map<std::uint64_t, Clock::time_point> ObjectLastUsedAt;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_BACKENDSTATE_H
