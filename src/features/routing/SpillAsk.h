#ifndef REDWINGRACK_ROUTING_SPILLASK_H
#define REDWINGRACK_ROUTING_SPILLASK_H

#include <string>

namespace rr {

/// Traffic that an availability zone would like to send to another region.
struct SpillAsk {
  std::string Zone;
  /// Region of Zone.
  std::string Region;
  std::string Service;
  double RequestsPerSecond = 0;
  /// Requests and answers together.
  double BytesPerSecond = 0;
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_SPILLASK_H
