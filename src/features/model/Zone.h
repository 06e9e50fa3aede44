#ifndef REDWINGRACK_MODEL_ZONE_H
#define REDWINGRACK_MODEL_ZONE_H

#include <string>

namespace rr {

/// Availability zone: a failure domain with its own instances and servers.
struct Zone {
  std::string Name;
  std::string Region;
};

} // namespace rr

#endif // REDWINGRACK_MODEL_ZONE_H
