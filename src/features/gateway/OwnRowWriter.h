#ifndef REDWINGRACK_GATEWAY_OWNROWWRITER_H
#define REDWINGRACK_GATEWAY_OWNROWWRITER_H

#include "base/Outcome.h"

#include <asio/awaitable.hpp>

namespace rr {

class MemberRegistry;
class TableWatch;
struct SteeringState;
struct TableStore;

/// Writes the row of this instance on the condition that nobody changed it, so
/// that a write that the store executes late has no effect.
class OwnRowWriter {
public:
  /// All references must outlive the writer.
  OwnRowWriter(SteeringState &State, MemberRegistry &Members,
               const TableStore &Store, TableWatch &MemberTable)
      : State(State), Members(Members), Store(Store), MemberTable(MemberTable) {
  }

  /// Writes the row. If the known version of the row is outdated, reads it from
  /// the store and writes again. Errc::Conflict if the row changed again, or if
  /// a later run of the instance owns it; otherwise the errors of
  /// TableStore::Commit.
  asio::awaitable<Outcome<void>> write();

private:
  /// Reads the version of the row, directly from the store.
  asio::awaitable<void> readVersion();

  SteeringState &State;
  MemberRegistry &Members;
  const TableStore &Store;
  TableWatch &MemberTable;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_OWNROWWRITER_H
