#ifndef REDWINGRACK_MEMBERSHIP_PEERHEADER_H
#define REDWINGRACK_MEMBERSHIP_PEERHEADER_H

#include "membership/ControlStamp.h"
#include "membership/HeadRead.h"
#include "membership/Member.h"

#include <cstdint>
#include <optional>
#include <string>

namespace rr {

/// What heartbeats and summaries have in common.
struct PeerHeader {
  Member From;
  /// Number of this message on its link.
  std::uint64_t Number = 0;
  /// Highest number received from the addressee, see LinkClock.
  std::uint64_t Echo = 0;
  /// Incarnation of the addressee that sent the repeated number.
  std::uint64_t EchoIncarnation = 0;
  /// All that the sender has accepted.
  ControlStamp Stamp;
  bool Synchronised = false;
  /// MemberTable::listDigest() of the sender. Whoever has another one fetches,
  /// so that news of any member spreads in both directions.
  std::string ListDigest;
  std::optional<HeadRead> Read;
};

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_PEERHEADER_H
