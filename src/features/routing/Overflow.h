#ifndef REDWINGRACK_ROUTING_OVERFLOW_H
#define REDWINGRACK_ROUTING_OVERFLOW_H

#include <cstdint>
#include <string>

namespace rr {

/// Requests of a service that the own region could not serve in time. Their
/// rate is what the zone asks other regions for.
struct Overflow {
  std::string Service;
  std::uint64_t Requests = 0;
  double Bytes = 0;
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_OVERFLOW_H
