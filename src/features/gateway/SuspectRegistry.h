#ifndef REDWINGRACK_GATEWAY_SUSPECTREGISTRY_H
#define REDWINGRACK_GATEWAY_SUSPECTREGISTRY_H

#include "base/Clock.h"
#include "quarantine/CrashObservation.h"
#include "quarantine/LostRequest.h"
#include "tables/TableRow.h"
#include "tables/TableRows.h"
#include "tables/TableWrite.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rr {

struct BackendState;
struct SteeringState;
struct TableStore;

/// Shares the requests that were lost in crashes of servers with all instances,
/// through rows of the product's own table. An instance that starts later reads
/// them there.
class SuspectRegistry {
public:
  /// All references must outlive the registry.
  SuspectRegistry(asio::io_context &Context, SteeringState &State,
                  const TableStore &Store);

  void applySnapshot(const TableRows &Rows);
  void applyChanges(const TableRows &Rows);

  /// Records the requests that were lost in a crash, and writes their rows.
  void recordCrash(const BackendState &Server,
                   const std::vector<LostRequest> &Lost);
  /// Ends the suspicion of a request that a server answered.
  void recordAnswer(const std::string &Fingerprint);
  /// Forgets observations without effect. The \p Leader of the fleet removes
  /// their rows.
  void removeExpired(bool Leader);

  /// Whether a request was lost in a crash recently, so that instances should
  /// learn soon of the next one.
  bool hasRecentLoss() const;

private:
  /// Estimate of the store's clock at \p Time.
  Clock::duration storeTimeAt(Clock::time_point Time) const {
    return Time.time_since_epoch() + this->StoreTimeOffset;
  }
  void apply(const TableRow &Row);
  void add(const CrashObservation &Observation);
  /// Whether this instance knows of a later answer to the request.
  bool wasAnsweredSince(const CrashObservation &Observation) const;
  void startWrite(TableWrite Write);
  /// Adapts to the whole read of a new era of the store: the observations of
  /// \p Before that it lacks stay known and are written again.
  void keepLost(const std::vector<CrashObservation> &Before);
  /// Sets the conditions of pending writes to the versions of the present era.
  void renewPending();
  /// Writes the lost rows that are due to this instance, after a random delay.
  asio::awaitable<void> writeLostRows();
  /// Removes the row of \p Observation if a version of it is known; drops a row
  /// that was not written yet.
  void startRemoval(const CrashObservation &Observation);
  /// Writes pending rows until there are none.
  asio::awaitable<void> writeRows();
  /// Writes \p Writes in one call, or each alone if one of them conflicts.
  /// False if the store did not execute or did not answer a call.
  asio::awaitable<bool> commit(std::vector<TableWrite> Writes);
  void recordWritten(const TableWrite &Write, StoreVersion Version);
  void dropPending(const TableWrite &Write);

  asio::io_context &Context;
  SteeringState &State;
  const TableStore &Store;
  /// Store clock minus Clock.
  Clock::duration StoreTimeOffset{0};
  /// Writes that the store has not confirmed, by key.
  std::map<std::string, TableWrite> Pending;
  /// Versions of the rows in the store, by key.
  std::map<std::string, StoreVersion> Versions;
  /// Observations whose rows the store does not have since it came back from an
  /// older copy, by key.
  std::map<std::string, CrashObservation> Lost;
  /// Era of the store in the last whole read; none before the first one.
  std::optional<std::uint64_t> Era;
  bool Writing = false;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_SUSPECTREGISTRY_H
