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

/// Lets one instance read a table of the store for several. An instance
/// passes the changes on when one of its own reads ends. Whoever does not get
/// them in time, or at all, reads the store itself, so that a lost instance
/// delays the others by part of one period only.
class TableRelay {
public:
  /// Chooses who reads \p Table for this instance; none for itself.
  using PeerSelector =
      std::function<std::optional<RelayPeer>(const std::string &)>;

  /// Whole tables through another instance, for one that is in no hurry.
  struct SnapshotSource {
    /// Whether the table is to be read through another instance, now or soon.
    std::function<bool()> Enabled;
    /// The instance to ask; none yet.
    std::function<std::optional<RelayPeer>()> SelectPeer;
  };

  /// \p Links outlive the relay and are not started yet.
  TableRelay(PeerLinks &Links, const TableStore &Store,
             PeerSelector SelectPeer);
  TableRelay(const TableRelay &) = delete;
  TableRelay &operator=(const TableRelay &) = delete;

  /// The store, with reads of changes through other instances. A read that
  /// must not wait goes to the store itself.
  TableStore tables();

  void setSnapshotSource(SnapshotSource Source) {
    this->Snapshots = std::move(Source);
  }
  /// Passes changes of \p Name on as soon as they are known, and not only
  /// when a read ends; for tables that are read without a pause.
  void setImmediateRelay(const std::string &Name) {
    this->Tables[Name].RelayImmediately = true;
  }
  /// Reads that another instance answered.
  std::uint64_t relayedReads() const { return this->Relayed; }

private:
  struct PendingQuery {
    RelayQuery Query;
    IncomingCall Call;
    /// On bootTime().
    Clock::time_point ArrivedAt{};
  };
  struct Table {
    /// Changes are passed on as soon as they are known.
    bool RelayImmediately = false;
    /// Empty while another instance reads.
    ChangeLog Log;
    std::vector<PendingQuery> PendingQueries;
    /// The store is read directly until then.
    Clock::time_point ReadDirectlyUntil{};
    RelayPeer Peer;
    /// The log is complete up to this time on bootTime().
    Clock::time_point AsOf{};
    /// The whole table as it was read for others, for those that ask shortly
    /// after.
    std::optional<TableRows> Snapshot;
    /// On bootTime().
    Clock::time_point SnapshotAsOf{};
    std::vector<PendingQuery> PendingSnapshotQueries;
  };

  asio::awaitable<Outcome<TableRows>>
  readChanges(std::string Name, std::uint64_t After, Clock::duration Wait);
  asio::awaitable<Outcome<TableRows>>
  readRelayed(Table &Entry, RelayQuery Query, Clock::duration Wait);
  asio::awaitable<Outcome<TableRows>> readTable(std::string Name);
  asio::awaitable<Outcome<TableRows>> readSnapshot(std::string Name,
                                                   std::string Peer);
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
