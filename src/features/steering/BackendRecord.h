#ifndef REDWINGRACK_STEERING_BACKENDRECORD_H
#define REDWINGRACK_STEERING_BACKENDRECORD_H

#include "base/Clock.h"

#include <cstdint>
#include <string>

namespace rr {

/// The entry that a backend server publishes about itself.
struct BackendRecord {
  std::string Id;
  std::string Service;
  /// IP:PORT.
  std::string Address;
  std::string Zone;
  std::string Version;
  int Slots = 1;
  /// The server accepts no new requests.
  bool Draining = false;
  /// Remaining time for which the server is slow after its start.
  Clock::duration ColdRemaining{0};
  /// Start of this incarnation, Unix milliseconds; 0 when unknown.
  std::int64_t StartTimeMs = 0;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_BACKENDRECORD_H
