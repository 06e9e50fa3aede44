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

/// Applies the rows of the backend table, in which each backend server
/// registers itself, to the pool of backend servers.
class BackendRegistry {
public:
  BackendRegistry(SteeringState &State, const PlatformCodec &Codec);

  /// With \p StoreRecovering, servers whose rows are missing are kept until
  /// removeMissing(): rows that expired during a store outage may be written
  /// again.
  void applySnapshot(const TableRows &Rows, bool StoreRecovering,
                     Clock::time_point Now);
  void applyChanges(const TableRows &Rows, bool StoreRecovering,
                    Clock::time_point Now);
  /// Removes the servers whose rows are still missing, unless
  /// \p StoreRecovering.
  void removeMissing(bool StoreRecovering);

  /// Sets a handler that is called with the address of each server that was
  /// removed or replaced.
  void
  onServerRemoved(std::function<void(const std::string &Address)> Handler) {
    this->ServerRemoved = std::move(Handler);
  }

private:
  void apply(const TableRow &Row, bool StoreRecovering, Clock::time_point Now);
  void remove(const std::string &Id, bool StoreRecovering);

  SteeringState &State;
  const PlatformCodec &Codec;
  /// Servers whose rows are missing while the store recovers.
  std::set<std::string> MissingIds;
  /// Keys of malformed rows that were logged already.
  std::set<std::string> IgnoredKeys;
  std::function<void(const std::string &Address)> ServerRemoved;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_BACKENDREGISTRY_H
