#ifndef REDWINGRACK_TESTING_FAKEPLATFORM_H
#define REDWINGRACK_TESTING_FAKEPLATFORM_H

#include "base/Clock.h"
#include "platform/Platform.h"

#include <cstdint>
#include <map>
#include <string>

namespace rr {

/// In-memory platform with switches for its faults. Outlives the functions
/// that platform() returns.
class FakePlatform {
public:
  /// The functions for one user of the store. With a \p Disconnected flag that
  /// turns true, this user alone loses the store.
  Platform platform(const bool *Disconnected = nullptr);

  /// Writes a row without conditions, as another program would.
  void put(const std::string &Key, const std::string &Value);

  std::map<std::string, Row> Rows;
  std::map<std::string, std::string> Objects;
  std::map<std::string, InstanceRecord> Instances;
  /// Every call fails without effect.
  bool Down = false;
  /// Number of commits whose answer is lost after they took effect.
  int LoseAnswers = 0;
  bool DownAfterLostAnswer = false;
  /// Time that each call takes.
  Clock::duration Latency{0};
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;

private:
  Outcome<void> apply(const Transaction &Request);
  bool conditionHolds(const RowWrite &Write) const;
  asio::awaitable<Outcome<void>> commit(Transaction Request,
                                        const bool *Disconnected);
  asio::awaitable<bool> delayAndCheckReachable(const bool *Disconnected);
};

} // namespace rr

#endif // REDWINGRACK_TESTING_FAKEPLATFORM_H
