#ifndef REDWINGRACK_GATEWAY_BOUNDEDLOG_H
#define REDWINGRACK_GATEWAY_BOUNDEDLOG_H

#include "base/Clock.h"
#include "logging/EventLog.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace rr {

/// Writes events of single requests up to a rate. Once a second it says how
/// many were left out, by what became of them.
class BoundedLog {
public:
  /// Lines a second; beyond it a line costs more than it tells.
  static constexpr int LinesPerSecond = 300;

  /// \p Outcome is what lines that are left out are counted by.
  /// Returns false when the line was left out; \p Fields is not called then.
  bool write(Event Number, const std::string &Outcome,
             const std::function<std::vector<EventField>()> &Fields);

private:
  void beginSecond(Clock::time_point Now);

  Clock::time_point SecondBegan{};
  int Lines = 0;
  std::map<std::string, std::uint64_t> LeftOut;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_BOUNDEDLOG_H
