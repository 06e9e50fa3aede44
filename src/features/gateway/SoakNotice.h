#ifndef REDWINGRACK_GATEWAY_SOAKNOTICE_H
#define REDWINGRACK_GATEWAY_SOAKNOTICE_H

#include "base/Clock.h"

#include <cstdint>
#include <map>

namespace rr {

/// A word of the operator or of a server that something is not used any more: a
/// key, a zone or a server.
struct SoakNotice {
  /// An instance that knows the notice, in one run of it.
  struct Knowledge {
    int Kills = 0;
    Clock::time_point Since{};
  };

  /// Configuration that withdrew a key; 0 for other notices.
  std::uint64_t Configuration = 0;
  /// When the store acknowledged it first.
  Clock::time_point FirstAt{};
  /// When the store acknowledged it last, after it had lost it.
  Clock::time_point LastAt{};
  /// The store lost it, and it is not written again yet.
  bool Lost = false;
  /// Instances that must not fall back behind the notice.
  std::map<const void *, Knowledge> KnownBy;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_SOAKNOTICE_H
