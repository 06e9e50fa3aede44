#ifndef REDWINGRACK_PLATFORM_INSTANCERECORD_H
#define REDWINGRACK_PLATFORM_INSTANCERECORD_H

#include <string>

namespace rr {

/// An entry of the platform's instance list, which may be out of date.
struct InstanceRecord {
  std::string Name;
  std::string Zone;
  /// IP address and port for requests of callers.
  std::string CallerAddress;
  /// IP address and port for connections of other instances.
  std::string PeerAddress;
  bool Leaving = false;
};

} // namespace rr

#endif // REDWINGRACK_PLATFORM_INSTANCERECORD_H
