#ifndef REDWINGRACK_PLATFORM_INSTANCERECORD_H
#define REDWINGRACK_PLATFORM_INSTANCERECORD_H

#include <string>

namespace rr {

/// An entry of the platform's instance list. The list lags behind reality.
struct InstanceRecord {
  std::string Name;
  std::string Zone;
  /// IP number and port where callers reach the instance.
  std::string CallerAddress;
  /// IP number and port where other instances reach it.
  std::string PeerAddress;
  bool Leaving = false;
};

} // namespace rr

#endif // REDWINGRACK_PLATFORM_INSTANCERECORD_H
