#ifndef REDWINGRACK_ROUTING_SLOWSTART_H
#define REDWINGRACK_ROUTING_SLOWSTART_H

#include "base/Clock.h"

#include <chrono>
#include <cstdint>

namespace rr {

/// Grows the usable slots of a server with a cold cache.
class SlowStart {
public:
  /// Time from the first slot to all slots.
  static constexpr std::chrono::seconds RampTime{30};

  /// Starts with \p FromSlots, at least one.
  void begin(std::uint32_t FromSlots, Clock::time_point Now);
  /// Of \p Slots, those that may be used now.
  std::uint32_t effectiveSlots(std::uint32_t Slots,
                               Clock::time_point Now) const;

private:
  std::uint32_t FromSlots = 1;
  Clock::time_point Until{};
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_SLOWSTART_H
