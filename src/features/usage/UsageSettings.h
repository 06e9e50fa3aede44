#ifndef REDWINGRACK_USAGE_USAGESETTINGS_H
#define REDWINGRACK_USAGE_USAGESETTINGS_H

#include "base/Clock.h"

#include <string>
#include <vector>

namespace rr {

/// Settings of the usage reports. The defaults are used for bounds that the
/// platform does not name.
struct UsageSettings {
  /// The platform's API, IP:PORT; empty if there is none.
  std::string Address;
  /// Duties that the platform asks the instances for, by its own names.
  std::vector<std::string> Duties;
  /// Calls that the API accepts per second from all instances; 0 if it names
  /// no limit.
  double CallsPerSecond = 0;
  /// Length of a window.
  Clock::duration Window = std::chrono::seconds(5);
  /// Time after the end of a window at which its report is due.
  Clock::duration Due = std::chrono::seconds(10);
  Clock::duration Lease = std::chrono::seconds(3);
};

} // namespace rr

#endif // REDWINGRACK_USAGE_USAGESETTINGS_H
