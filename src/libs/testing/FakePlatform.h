#ifndef REDWINGRACK_TESTING_FAKEPLATFORM_H
#define REDWINGRACK_TESTING_FAKEPLATFORM_H

#include "base/Clock.h"
#include "platform/Platform.h"

#include <cstdint>
#include <map>
#include <string>

namespace rr {

/// In-memory platform with fault injection. Must outlive the functions that
/// platform() returns.
class FakePlatform {
public:
  /// The functions for one user of the platform. While \p Disconnected points
  /// to true, calls of this user alone fail without effect.
  Platform platform(const bool *Disconnected = nullptr);

  /// Writes a row unconditionally, as another program would.
  void put(const std::string &Key, const std::string &Value);

  std::map<std::string, Row> Rows;
  std::map<std::string, std::string> Objects;
  std::map<std::string, InstanceRecord> Instances;
  /// All calls fail without effect.
  bool Down = false;
  /// Number of successful commits whose answer will still be lost.
  int LoseAnswers = 0;
  /// Down is set when an answer is lost.
  bool DownAfterLostAnswer = false;
  /// Duration of each call.
  Clock::duration Latency{0};
  /// Number of calls that reached the platform.
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;

private:
  Outcome<void> apply(const Transaction &Request);
  bool conditionHolds(const RowWrite &Write) const;
  asio::awaitable<Outcome<void>> commit(Transaction Request,
                                        const bool *Disconnected);
  /// Waits for Latency; returns whether the call reaches the platform.
  asio::awaitable<bool> delayAndCheckReachable(const bool *Disconnected);
};

} // namespace rr

#endif // REDWINGRACK_TESTING_FAKEPLATFORM_H
