#ifndef REDWINGRACK_GATEWAY_MOVECOORDINATOR_H
#define REDWINGRACK_GATEWAY_MOVECOORDINATOR_H

#include "gateway/MemberRegistry.h"
#include "gateway/PlatformCodec.h"
#include "gateway/SteeringState.h"
#include "tables/TableStore.h"

#include <asio/awaitable.hpp>

#include <string>

namespace rr {

/// Drives moves between versions of services. The leader begins and advances
/// them; any instance rolls back a version that it knows to be bad. The state
/// is written conditionally, so concurrent changes by several instances are
/// safe.
class MoveCoordinator {
public:
  MoveCoordinator(SteeringState &State, MemberRegistry &Members,
                  const TableStore &Store, const PlatformCodec &Codec);

  /// Begins or advances every move that is due.
  asio::awaitable<void> advanceMoves();
  /// Whether a move is running or about to begin, which needs frequent updates
  /// of the member rows.
  bool hasPendingMove() const;

  /// Whether this instance begins and advances moves.
  bool isLeader() const;

private:
  /// The next state of the move of \p Service; none if nothing is due.
  std::optional<VersionMove> nextState(const std::string &Service) const;
  /// Writes the state of a move and its status for the operator.
  asio::awaitable<Outcome<StoreVersion>> write(const VersionMove &Move);
  /// Writes and adopts the next state of a move.
  asio::awaitable<void> commit(VersionMove Next);
  /// Writes the known state of a move that the store lost.
  asio::awaitable<void> writeAgain(VersionMove Known);

  SteeringState &State;
  MemberRegistry &Members;
  const TableStore &Store;
  const PlatformCodec &Codec;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_MOVECOORDINATOR_H
