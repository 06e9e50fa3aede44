#ifndef REDWINGRACK_TABLES_TABLERELAY_H
#define REDWINGRACK_TABLES_TABLERELAY_H

#include "base/Clock.h"
#include "peerlink/IncomingCall.h"
#include "tables/ChangeLog.h"
#include "tables/RelayMessages.h"
#include "tables/RelayPeer.h"
#include "tables/TableStore.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rr {

class PeerNode;

/// Lets one instance read a table of the store for several. An instance
/// passes the changes on when one of its own reads ends. Whoever does not get
/// them in time, or at all, reads the store itself, so that a lost instance
/// delays the others by part of one period only.
class TableRelay {
public:
  struct Options {
    std::string Name;
    std::string Zone;
    /// Where the other instances connect, IP:PORT; without one nothing is
    /// relayed.
    std::string ListenAddress;
  };
  /// Chooses who reads \p Table for this instance; none for itself.
  using Choice = std::function<std::optional<RelayPeer>(const std::string &)>;

  TableRelay(asio::io_context &Context, const TableStore &Store, Options Chosen,
             Choice Chooser);
  ~TableRelay();
  TableRelay(const TableRelay &) = delete;
  TableRelay &operator=(const TableRelay &) = delete;

  /// Begins to listen with the secret that all instances share. Without it
  /// every read goes to the store.
  void start(const std::string &Secret);
  bool isStarted() const { return this->Node != nullptr; }
  void stop();

  /// The store, with reads of changes through other instances. A read that
  /// must not wait goes to the store itself.
  TableStore tables();

  std::uint16_t port() const;
  /// Reads that another instance answered.
  std::uint64_t relayedReads() const { return this->Relayed; }

private:
  struct Waiter {
    RelayQuery Query;
    IncomingCall Call;
  };
  struct Table {
    /// Empty while another instance reads.
    ChangeLog Log;
    std::vector<Waiter> Waiters;
    /// The store is read directly until then.
    Clock::time_point DirectUntil{};
    RelayPeer Peer;
  };

  asio::awaitable<Outcome<TableRows>>
  readChanges(std::string Name, std::uint64_t After, Clock::duration Wait);
  asio::awaitable<Outcome<TableRows>>
  readRelayed(Table &Entry, RelayQuery Query, Clock::duration Wait);
  void answerCall(IncomingCall Call);
  void answerWaiters(Table &Entry, bool Current);
  void follow(Table &Entry, const RelayPeer &Peer);

  asio::io_context &Context;
  const TableStore &Store;
  Options Chosen;
  Choice Chooser;
  std::unique_ptr<PeerNode> Node;
  std::map<std::string, Table> Tables;
  std::uint64_t Relayed = 0;
};

} // namespace rr

#endif // REDWINGRACK_TABLES_TABLERELAY_H
