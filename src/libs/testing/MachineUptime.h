#ifndef REDWINGRACK_TESTING_MACHINEUPTIME_H
#define REDWINGRACK_TESTING_MACHINEUPTIME_H

#include "base/Clock.h"

namespace rr {

/// During its lifetime, a test runs as on a machine that has been up for some
/// time.
class MachineUptime {
public:
  explicit MachineUptime(Clock::duration Uptime) : Before(Clock::now()) {
    Clock::pauseAt(Clock::time_point(Uptime));
  }
  ~MachineUptime() {
    Clock::pauseAt(this->Before);
    Clock::resume();
  }
  MachineUptime(const MachineUptime &) = delete;
  MachineUptime &operator=(const MachineUptime &) = delete;

private:
  Clock::time_point Before;
};

} // namespace rr

#endif // REDWINGRACK_TESTING_MACHINEUPTIME_H
