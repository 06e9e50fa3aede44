#ifndef REDWINGRACK_GATEWAY_BACKENDREGISTRY_H
#define REDWINGRACK_GATEWAY_BACKENDREGISTRY_H

#include "gateway/PlatformCodec.h"
#include "gateway/RateLimitedLog.h"
#include "gateway/RestoredRows.h"
#include "gateway/RestoredServer.h"
#include "gateway/SteeringState.h"
#include "tables/TableRows.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace rr {

/// Applies the rows of the backend table, in which each backend server
/// registers itself, to the pool of backend servers. When the store comes back
/// from an older copy, what is known of a server holds until the server has
/// written its row again.
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
  /// \p StoreRecovering or the store lost rows that may be written again.
  void removeMissing(bool StoreRecovering);

  /// Sets a handler that is called with the address of each server that was
  /// removed or replaced.
  void
  onServerRemoved(std::function<void(const std::string &Address)> Handler) {
    this->ServerRemoved = std::move(Handler);
  }

private:
  /// \p NewEra if the row is part of the whole read that begins an era.
  void apply(const TableRow &Row, bool NewEra, bool StoreRecovering,
             Clock::time_point Now);
  /// Whether \p Row of a restored copy contradicts what is known.
  bool holdBack(const TableRow &Row, const BackendRecord &Record);
  RestoredServer compare(const TableRow &Row,
                         const BackendRecord &Record) const;
  /// Applies the rows of removed servers that the store would have removed if
  /// the servers were silent.
  void releaseHeld(Clock::time_point Now);
  void remove(const std::string &Id, bool Keep);
  void logHeld(Event Number, const std::string &Id, const std::string &Known);

  SteeringState &State;
  const PlatformCodec &Codec;
  /// Servers whose rows are missing while the store recovers.
  std::set<std::string> MissingIds;
  /// Keys of malformed rows that were logged already.
  std::set<std::string> IgnoredKeys;
  std::function<void(const std::string &Address)> ServerRemoved;
  RestoredRows Restored;
  /// Servers removed in the last RemovedServer::Memory, by id.
  std::map<std::string, RemovedServer> Removed;
  /// Version of the rows that were applied last.
  StoreVersion ReadVersion;
  RateLimitedLog Log;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_BACKENDREGISTRY_H
