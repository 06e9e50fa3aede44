#ifndef REDWINGRACK_INSTANCE_FAKESERVER_H
#define REDWINGRACK_INSTANCE_FAKESERVER_H

#include "base/Clock.h"
#include "instance/ServerLoad.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace rr {

/// A backend server of InstanceFleet, with switches for its faults and a record
/// of what it has seen.
struct FakeServer {
  /// Connections are refused.
  bool Down = false;
  /// Accepts requests and never answers.
  bool Silent = false;
  /// Path whose request ends the process; empty for none.
  std::string CrashPath;
  bool Fails = false;
  Clock::duration Latency = std::chrono::milliseconds(5);

  /// Answer of the load endpoint; there is no such endpoint without it.
  std::optional<ServerLoad> Load;
  std::uint64_t LoadAsks = 0;

  std::uint32_t Running = 0;
  std::uint32_t MostRunning = 0;
  std::uint64_t Served = 0;
  std::uint64_t Crashes = 0;
  /// Runs by the value of X-Request-Id.
  std::map<std::string, int> Runs;
  /// Workspaces of the runs, by X-Request-Id.
  std::map<std::string, std::string> Workspaces;
  Clock::time_point LastBegan = Clock::time_point::min();
};

} // namespace rr

#endif // REDWINGRACK_INSTANCE_FAKESERVER_H
