#ifndef REDWINGRACK_GATEWAY_BACKENDREGISTRY_H
#define REDWINGRACK_GATEWAY_BACKENDREGISTRY_H

#include "gateway/PlatformCodec.h"
#include "gateway/SteeringState.h"
#include "tables/TableRows.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace rr {

/// Applies the entries that backend servers write about themselves.
class BackendRegistry {
public:
  BackendRegistry(SteeringState &State, const PlatformCodec &Codec);

  /// \p StoreRecovering: the store was away, and entries that lapsed meanwhile
  /// may come back.
  void applySnapshot(const TableRows &Rows, bool StoreRecovering,
                     Clock::time_point Now);
  void applyChanges(const TableRows &Rows, bool StoreRecovering,
                    Clock::time_point Now);
  /// Removes the servers whose entries did not come back.
  void removeMissing(bool StoreRecovering);

  /// Runs for each address whose server has left or was replaced.
  void
  onServerRemoved(std::function<void(const std::string &Address)> Handler) {
    this->ServerRemoved = std::move(Handler);
  }

private:
  void apply(const TableRow &Row, bool StoreRecovering, Clock::time_point Now);
  void remove(const std::string &Id, bool StoreRecovering);

  SteeringState &State;
  const PlatformCodec &Codec;
  std::set<std::string> MissingIds;
  std::set<std::string> IgnoredKeys;
  std::function<void(const std::string &Address)> ServerRemoved;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_BACKENDREGISTRY_H
