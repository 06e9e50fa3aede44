#ifndef REDWINGRACK_GATEWAY_MOVECOORDINATOR_H
#define REDWINGRACK_GATEWAY_MOVECOORDINATOR_H

#include "gateway/MemberRegistry.h"
#include "gateway/PlatformCodec.h"
#include "gateway/SteeringState.h"
#include "tables/TableStore.h"

#include <asio/awaitable.hpp>

#include <string>

namespace rr {

/// Drives moves between versions: one instance at a time begins and advances
/// them, and any instance takes back a version that it knows to be bad. The
/// state changes under a condition, so that it does not matter when several
/// try.
class MoveCoordinator {
public:
  MoveCoordinator(SteeringState &State, MemberRegistry &Members,
                  const TableStore &Store, const PlatformCodec &Codec);

  /// Takes the next step of every move that is due.
  asio::awaitable<void> advanceMoves();
  /// A move is under way or about to begin, so rows should be frequent.
  bool hasPendingMove() const;

  /// Whether this instance is the one that begins and advances moves.
  bool isLeader() const;

private:
  std::optional<VersionMove> nextState(const std::string &Service) const;
  asio::awaitable<void> commit(VersionMove Next);

  SteeringState &State;
  MemberRegistry &Members;
  const TableStore &Store;
  const PlatformCodec &Codec;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_MOVECOORDINATOR_H
