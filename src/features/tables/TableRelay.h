#ifndef REDWINGRACK_TABLES_TABLERELAY_H
#define REDWINGRACK_TABLES_TABLERELAY_H

#include "base/Clock.h"
#include "peerlink/IncomingCall.h"
#include "tables/ChangeLog.h"
#include "tables/RelayMessages.h"
#include "tables/RelayPeer.h"
#include "tables/TableStore.h"

#include <asio/awaitable.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rr {

class PeerLinks;

/// Reads tables of the store through another instance, so that one instance
/// reads a table for several. An instance relays the changes when one of its
/// own reads ends. An instance that does not receive them in time reads the
/// store itself, so that the loss of the relaying instance delays the others by
/// only a part of one polling period.
class TableRelay {
public:
  /// Selects the instance through which the given table is read; empty to read
  /// the store directly.
  using PeerSelector =
      std::function<std::optional<RelayPeer>(const std::string &)>;

  /// How an instance that can afford to wait, such as a standby, reads whole
  /// tables through another instance.
  struct SnapshotSource {
    /// Whether to read whole tables through another instance, waiting for one
    /// if none is known yet.
    std::function<bool()> Enabled;
    /// The instance to query; empty if none is known yet.
    std::function<std::optional<RelayPeer>()> SelectPeer;
  };

  /// Longest wait of a read of changes with which a follower whose reader falls
  /// silent reads the store itself, and so has a change, within \p MaxDelay.
  static Clock::duration longPollTime(Clock::duration MaxDelay);

  /// \p Links and \p Store must outlive the relay; \p Links must not be started
  /// yet.
  TableRelay(PeerLinks &Links, const TableStore &Store,
             PeerSelector SelectPeer);
  TableRelay(const TableRelay &) = delete;
  TableRelay &operator=(const TableRelay &) = delete;

  /// The store, with reads that may go through other instances. Reads of
  /// changes with a wait time of zero always go to the store.
  TableStore tables();

  void setSnapshotSource(SnapshotSource Source) {
    this->Snapshots = std::move(Source);
  }
  /// Answers queries for the table \p Name immediately if there are known
  /// changes, and not only when the next read ends. For tables that are read
  /// without a pause.
  void setImmediateRelay(const std::string &Name) {
    this->Tables[Name].RelayImmediately = true;
  }
  /// Number of reads that another instance answered.
  std::uint64_t relayedReads() const { return this->Relayed; }

private:
  struct PendingQuery {
    RelayQuery Query;
    IncomingCall Call;
    /// On the clock of bootTime().
    Clock::time_point ArrivedAt{};
  };
  struct Table {
    /// See setImmediateRelay().
    bool RelayImmediately = false;
    /// Empty while the table is read through another instance.
    ChangeLog Log;
    std::vector<PendingQuery> PendingQueries;
    /// The store is read directly until this time, after a failed relayed read.
    Clock::time_point ReadDirectlyUntil{};
    RelayPeer Peer;
    /// The log is complete up to this time on the clock of bootTime().
    Clock::time_point AsOf{};
    /// Whole table, kept for SnapshotLifetime to answer several queries with
    /// one read.
    std::optional<TableRows> Snapshot;
    /// Start of the read of Snapshot, on the clock of bootTime().
    Clock::time_point SnapshotAsOf{};
    std::vector<PendingQuery> PendingSnapshotQueries;
    /// When the store had lost the changes at a direct read, on the clock of
    /// bootTime(), until the whole table has been read. Each direct attempt to
    /// read it also answers the pending queries.
    std::optional<Clock::time_point> HistoryLostAt;
    /// The other instance has reached a later era of the store, and can give
    /// the whole table.
    bool PeerHasLaterEra = false;
  };

  asio::awaitable<Outcome<TableRows>>
  readChanges(std::string Name, StoreVersion After, Clock::duration Wait);
  asio::awaitable<Outcome<TableRows>> readRelayed(Table &Entry,
                                                  std::string Name,
                                                  StoreVersion After,
                                                  Clock::duration Wait);
  /// The rows of \p Answer if they continue those of version \p After.
  /// Errc::Stale if the other instance has reached a later era, and
  /// Errc::Unavailable if it has not reached that of \p After.
  static Outcome<TableRows> continuing(RelayAnswer Answer, StoreVersion After);
  asio::awaitable<Outcome<TableRows>> readTable(std::string Name);
  asio::awaitable<Outcome<TableRows>> readSnapshot(std::string Name,
                                                   std::string Peer);
  /// Lets other instances continue from a read of the whole table that began at
  /// \p Start on bootTime().
  void shareTableRead(const std::string &Name, const Outcome<TableRows> &Read,
                      Clock::time_point Start);
  void keepSnapshot(const std::string &Name, TableRows Rows,
                    Clock::time_point Start);
  asio::awaitable<void> expireSnapshot(std::string Name,
                                       Clock::time_point Start);
  asio::awaitable<void> readSnapshotForPeers(std::string Name);
  void handleChangesCall(IncomingCall Call);
  void handleSnapshotCall(IncomingCall Call);
  void answerPendingQueries(Table &Entry, bool ReadSucceeded);
  static void answerChangesQuery(const Table &Entry,
                                 const PendingQuery &Pending);
  static void answerSnapshotQuery(const Table &Entry,
                                  const PendingQuery &Pending);
  void followPeer(Table &Entry, const RelayPeer &Peer);
  bool prefersPeerSnapshots() const {
    return this->Snapshots.Enabled && this->Snapshots.Enabled();
  }

  PeerLinks &Links;
  const TableStore &Store;
  PeerSelector SelectPeer;
  SnapshotSource Snapshots;
  std::map<std::string, Table> Tables;
  std::uint64_t Relayed = 0;
};

} // namespace rr

#endif // REDWINGRACK_TABLES_TABLERELAY_H
