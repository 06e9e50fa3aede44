#ifndef REDWINGRACK_ROUTING_SPILLGRANT_H
#define REDWINGRACK_ROUTING_SPILLGRANT_H

#include <string>

namespace rr {

/// Leave to send a rate of requests to another region. Valid for 3 s from the
/// time at which the receiver of the grant asked for it.
struct SpillGrant {
  /// Region that takes the requests.
  std::string ToRegion;
  /// Relay that gives the grant; grants of several relays add up.
  std::string Granter;
  /// Zone that may use it.
  std::string Zone;
  std::string Service;
  double RequestsPerSecond = 0;
  double BytesPerSecond = 0;
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_SPILLGRANT_H
