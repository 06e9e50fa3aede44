#ifndef REDWINGRACK_MEMBERSHIP_MEMBER_H
#define REDWINGRACK_MEMBERSHIP_MEMBER_H

#include <cstdint>
#include <string>

namespace rr {

/// In merging order: of two states of one incarnation the later one wins.
enum class MemberState : std::uint8_t {
  Live,
  Leaving,
  /// Said goodbye after its last request.
  Left,
  /// Its host refused a connection: the process is gone.
  Ended,
  /// An operator vouches that the process is gone.
  Lost,
};

/// What instances tell each other about one of them.
struct Member {
  std::string Name;
  std::string Zone;
  std::string Region;
  /// IP number and port for callers.
  std::string CallerAddress;
  /// IP number and port for other instances.
  std::string PeerAddress;
  /// Rises with each start of the process. Zero: known only from the
  /// platform's list, which does not say.
  std::uint64_t Incarnation = 0;
  MemberState State = MemberState::Live;

  bool operator==(const Member &) const = default;
};

/// Whether proof B needs word of the member.
inline bool isCounted(const Member &Item) {
  return Item.State == MemberState::Live || Item.State == MemberState::Leaving;
}

/// Of two reports on one member the one that holds. Commutative, associative
/// and idempotent: higher incarnation, then later state, then greater text.
const Member &newerOf(const Member &Left, const Member &Right);

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_MEMBER_H
