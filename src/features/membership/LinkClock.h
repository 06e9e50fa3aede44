#ifndef REDWINGRACK_MEMBERSHIP_LINKCLOCK_H
#define REDWINGRACK_MEMBERSHIP_LINKCLOCK_H

#include "base/Clock.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace rr {

/// Bounds the time that a message from one peer has been on its way. Each
/// message repeats the highest number received from the other side; it was
/// therefore sent after the message with that number. A message that waited
/// in a buffer, for example while the process was paused, gets its full age.
class LinkClock {
public:
  /// Number of the next message, sent at \p Now.
  std::uint64_t next(Clock::time_point Now);
  /// Notes the number of a received message.
  void received(std::uint64_t Number);
  /// Number to repeat in the next message; zero before the first one.
  std::uint64_t echo() const { return this->HighestReceived; }
  /// Earliest time at which the peer can have sent a message that repeats
  /// \p Echo; empty when that says nothing.
  std::optional<Clock::time_point> sentAfter(std::uint64_t Echo) const;

private:
  std::uint64_t LastSent = 0;
  std::uint64_t HighestReceived = 0;
  std::deque<std::pair<std::uint64_t, Clock::time_point>> Sent;
};

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_LINKCLOCK_H
