#ifndef REDWINGRACK_GATEWAY_BOUNDEDLOG_H
#define REDWINGRACK_GATEWAY_BOUNDEDLOG_H

#include "base/Clock.h"
#include "logging/EventLog.h"

#include <cstdint>

namespace rr {

/// Writes events of single requests up to a rate, and then how many were left
/// out.
class BoundedLog {
public:
  void write(Event Number, const std::vector<EventField> &Fields);

private:
  /// Lines a second; beyond it a line costs more than it tells.
  static constexpr int LinesPerSecond = 30;

  Clock::time_point SecondBegan{};
  int Lines = 0;
  std::uint64_t LeftOut = 0;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_BOUNDEDLOG_H
