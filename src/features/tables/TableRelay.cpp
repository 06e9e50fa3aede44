#include "tables/TableRelay.h"

#include "base/Timer.h"
#include "links/PeerLinks.h"
#include "logging/EventLog.h"
#include "tables/BootTime.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include <algorithm>

namespace rr {

namespace {

const std::string ChangesMethod = "changes";
const std::string SnapshotMethod = "snapshot";
/// Added to the wait time of a relayed read; covers the other instance's own
/// read of the store and the latency between regions.
constexpr Clock::duration AnswerMargin = std::chrono::milliseconds(350);
/// Time for a direct read of changes, with a margin for a slow store.
constexpr Clock::duration DirectReadTime = std::chrono::milliseconds(250);
constexpr Clock::duration MinLongPollTime = std::chrono::milliseconds(500);
/// Time for which the store is read directly after a failed relayed read.
constexpr Clock::duration DirectReadPeriod = std::chrono::seconds(5);
/// Maximum wait for another instance to read a whole table from, before the
/// store is read directly.
constexpr Clock::duration MaxSnapshotWait = std::chrono::seconds(3);
constexpr Clock::duration SnapshotCallTimeout = std::chrono::milliseconds(1500);
constexpr Clock::duration LinkPollInterval = std::chrono::milliseconds(100);
constexpr Clock::duration MaxLinkWait = std::chrono::seconds(1);
/// Time for which one read of a whole table answers further queries.
constexpr Clock::duration SnapshotLifetime = std::chrono::seconds(1);

std::string snapshotLinkUser(const std::string &Table) {
  return SnapshotMethod + " " + Table;
}

} // namespace

TableRelay::TableRelay(PeerLinks &Links, const TableStore &Store,
                       PeerSelector SelectPeer)
    : Links(Links), Store(Store), SelectPeer(std::move(SelectPeer)) {
  this->Links.onCall(ChangesMethod, [this](IncomingCall Call) {
    this->handleChangesCall(std::move(Call));
  });
  this->Links.onCall(SnapshotMethod, [this](IncomingCall Call) {
    this->handleSnapshotCall(std::move(Call));
  });
}

Clock::duration TableRelay::longPollTime(Clock::duration MaxDelay) {
  return std::max(MinLongPollTime, MaxDelay - AnswerMargin - DirectReadTime);
}

TableStore TableRelay::tables() {
  TableStore Result = this->Store;
  Result.ReadChanges = [this](std::string Name, StoreVersion After,
                              Clock::duration Wait) {
    return this->readChanges(std::move(Name), After, Wait);
  };
  Result.ReadTable = [this](std::string Name) {
    return this->readTable(std::move(Name));
  };
  return Result;
}

asio::awaitable<Outcome<TableRows>> TableRelay::readTable(std::string Name) {
  Table &Entry = this->Tables[Name];
  const Clock::time_point Deadline = Clock::now() + MaxSnapshotWait;
  Outcome<TableRows> Read = failure(Errc::Unavailable);
  if (const auto Peer = this->SelectPeer(Name);
      std::exchange(Entry.PeerHasLaterEra, false) && Peer &&
      this->Links.isLinked(Peer->Name)) {
    Read = co_await this->readSnapshot(Name, Peer->Name);
    if (Read)
      co_return Read;
  }
  while (this->prefersPeerSnapshots() && Clock::now() < Deadline) {
    const auto Peer = this->Snapshots.SelectPeer();
    if (Peer) {
      this->Links.setDesiredPeers(snapshotLinkUser(Name),
                                  {{Peer->Name, Peer->Address}});
      if (this->Links.isLinked(Peer->Name)) {
        Read = co_await this->readSnapshot(Name, Peer->Name);
        // A table that was read before the history was lost may be of the era
        // before.
        if (Read && Entry.HistoryLostAt && Read->AsOf < *Entry.HistoryLostAt)
          Read = failure(Errc::Unavailable);
        break;
      }
    }
    co_await sleepFor(LinkPollInterval);
  }
  // The link is kept until the first read of changes, which may go through the
  // same instance.
  if (Read) {
    Entry.HistoryLostAt.reset();
    co_return Read;
  }
  const Clock::time_point Start = bootTime();
  Read = co_await this->Store.ReadTable(Name);
  if (Entry.HistoryLostAt)
    this->shareTableRead(Name, Read, Start);
  co_return Read;
}

void TableRelay::shareTableRead(const std::string &Name,
                                const Outcome<TableRows> &Read,
                                Clock::time_point Start) {
  Table &Entry = this->Tables[Name];
  if (Read) {
    Entry.HistoryLostAt.reset();
    Entry.Log.restart(*Read);
    Entry.AsOf = std::max(Entry.AsOf, Start);
    this->keepSnapshot(Name, *Read, Start);
  }
  this->answerPendingQueries(Entry, Read.has_value());
}

void TableRelay::keepSnapshot(const std::string &Name, TableRows Rows,
                              Clock::time_point Start) {
  Table &Entry = this->Tables[Name];
  Entry.Snapshot = std::move(Rows);
  Entry.SnapshotAsOf = Start;
  asio::co_spawn(this->Links.context(), this->expireSnapshot(Name, Start),
                 asio::detached);
}

asio::awaitable<void> TableRelay::expireSnapshot(std::string Name,
                                                 Clock::time_point Start) {
  co_await sleepFor(SnapshotLifetime);
  Table &Entry = this->Tables[Name];
  if (Entry.Snapshot && Entry.SnapshotAsOf == Start)
    Entry.Snapshot.reset();
}

asio::awaitable<Outcome<TableRows>> TableRelay::readSnapshot(std::string Name,
                                                             std::string Peer) {
  const Clock::time_point Start = bootTime();
  Message Request{SnapshotMethod, encodeRelayQuery({Name, 0})};
  const auto Answer = co_await this->Links.call(
      Peer, std::move(Request), Clock::now() + SnapshotCallTimeout);
  auto Decoded = Answer ? decodeRelayAnswer(Answer->Body)
                        : tl::unexpected<std::error_code>(Answer.error());
  if (!Decoded) {
    logEvent(Event::RelayFailed, {{"table", Name},
                                  {"instance", Peer},
                                  {"error", Decoded.error().message()}});
    co_return tl::unexpected<std::error_code>(Decoded.error());
  }
  // Without its era, a table cannot be followed from the version read.
  if (!Decoded->HasEra)
    co_return failure(Errc::Unavailable);
  ++this->Relayed;
  Decoded->Rows.Relayed = true;
  Decoded->Rows.AsOf = Start + Decoded->AsOfOffset;
  co_return std::move(Decoded->Rows);
}

void TableRelay::handleSnapshotCall(IncomingCall Call) {
  const auto Query = decodeRelayQuery(Call.Request.Body);
  if (!Query) {
    Call.Answer(failure(Errc::Malformed));
    return;
  }
  // Only tables that this instance follows, and not while it reads whole tables
  // through other instances itself.
  const auto Found = this->Tables.find(Query->Table);
  if (Found == this->Tables.end() || this->prefersPeerSnapshots()) {
    Call.Answer(failure(Errc::Unavailable));
    return;
  }
  Table &Entry = Found->second;
  const PendingQuery Pending{*Query, std::move(Call), bootTime()};
  if (Entry.Snapshot) {
    answerSnapshotQuery(Entry, Pending);
    return;
  }
  Entry.PendingSnapshotQueries.push_back(Pending);
  if (Entry.PendingSnapshotQueries.size() == 1)
    asio::co_spawn(this->Links.context(),
                   this->readSnapshotForPeers(Query->Table), asio::detached);
}

asio::awaitable<void> TableRelay::readSnapshotForPeers(std::string Name) {
  Table &Entry = this->Tables[Name];
  const Clock::time_point Start = bootTime();
  auto Read = co_await this->Store.ReadTable(Name);
  if (Read)
    this->keepSnapshot(Name, std::move(*Read), Start);
  for (const PendingQuery &Pending :
       std::exchange(Entry.PendingSnapshotQueries, {}))
    if (Entry.Snapshot)
      answerSnapshotQuery(Entry, Pending);
    else
      Pending.Call.Answer(failure(Errc::Unavailable));
}

void TableRelay::answerSnapshotQuery(const Table &Entry,
                                     const PendingQuery &Pending) {
  const RelayAnswer Answer{*Entry.Snapshot, true,
                           Entry.SnapshotAsOf - Pending.ArrivedAt};
  Pending.Call.Answer(Message{SnapshotMethod, encodeRelayAnswer(Answer)});
}

asio::awaitable<Outcome<TableRows>>
TableRelay::readChanges(std::string Name, StoreVersion After,
                        Clock::duration Wait) {
  Table &Entry = this->Tables[Name];
  if (Wait > Clock::duration::zero() && this->Links.isStarted() &&
      Clock::now() >= Entry.ReadDirectlyUntil) {
    const auto Peer = this->SelectPeer(Name);
    if (Peer)
      this->followPeer(Entry, *Peer);
    this->Links.setDesiredPeers(snapshotLinkUser(Name), {});
    // An instance that prefers peer snapshots waits for the link to be
    // established.
    const Clock::time_point Deadline = Clock::now() + MaxLinkWait;
    while (Peer && this->prefersPeerSnapshots() &&
           !this->Links.isLinked(Peer->Name) && Clock::now() < Deadline)
      co_await sleepFor(LinkPollInterval);
    // Other instances read the store directly until the link is established;
    // this does not count as a failed relayed read.
    if (Peer && this->Links.isLinked(Peer->Name)) {
      this->answerPendingQueries(Entry, false);
      auto Read = co_await this->readRelayed(Entry, Name, After, Wait);
      if (Read || Read.error() == make_error_code(Errc::Stale))
        co_return Read;
      // The wait time is spent, so the store must answer immediately.
      Wait = Clock::duration::zero();
    }
  }
  const Clock::time_point Start = bootTime();
  auto Read = co_await this->Store.ReadChanges(Name, After, Wait);
  if (Read) {
    Entry.Log.append(After, *Read, Clock::now());
    Entry.AsOf = std::max(Entry.AsOf, completeAsOf(*Read, Start, Wait));
  } else if (Read.error() == make_error_code(Errc::Stale)) {
    // The kept table may be of the era before. The caller reads the whole table
    // next, and the pending queries are answered with that.
    Entry.Snapshot.reset();
    Entry.HistoryLostAt = bootTime();
    co_return Read;
  }
  this->answerPendingQueries(Entry, Read.has_value());
  co_return Read;
}

Outcome<TableRows> TableRelay::continuing(RelayAnswer Answer,
                                          StoreVersion After) {
  TableRows &Rows = Answer.Rows;
  // An earlier release does not follow a change of era, so that its rows may be
  // of a lost one.
  if ((!Answer.HasEra && After.Era > 0) || Rows.Version.Era < After.Era)
    return failure(Errc::Unavailable);
  if (Rows.Version.Era > After.Era)
    return failure(Errc::Stale);
  return std::move(Rows);
}

asio::awaitable<Outcome<TableRows>>
TableRelay::readRelayed(Table &Entry, std::string Name, StoreVersion After,
                        Clock::duration Wait) {
  const std::string Peer = Entry.Peer.Name;
  const Clock::time_point Start = bootTime();
  Message Request{ChangesMethod, encodeRelayQuery({Name, After.Number})};
  const auto Answer = co_await this->Links.call(
      Peer, std::move(Request), Clock::now() + Wait + AnswerMargin);
  Outcome<TableRows> Read = failure(Errc::Unavailable);
  const auto Decoded = Answer ? decodeRelayAnswer(Answer->Body)
                              : tl::unexpected<std::error_code>(Answer.error());
  if (Decoded) {
    Read = continuing(*Decoded, After);
    Entry.PeerHasLaterEra =
        !Read && Read.error() == make_error_code(Errc::Stale);
    if (Entry.PeerHasLaterEra)
      co_return Read;
  } else if (Decoded.error() != make_error_code(Errc::Stale)) {
    Read = tl::unexpected<std::error_code>(Decoded.error());
  }
  // A peer that no longer has the changes is no reason to read the whole table:
  // the store may have them.
  if (Read) {
    // The offset is relative to the arrival of the query at the peer, which is
    // later than Start, so the sum never claims too much.
    Read->AsOf = Start + Decoded->AsOfOffset;
    ++this->Relayed;
    Read->Relayed = true;
    Entry.Log.clear();
  } else {
    Entry.ReadDirectlyUntil = Clock::now() + DirectReadPeriod;
    logEvent(Event::RelayFailed, {{"table", Name},
                                  {"instance", Peer},
                                  {"error", Read.error().message()}});
  }
  co_return Read;
}

void TableRelay::followPeer(Table &Entry, const RelayPeer &Peer) {
  if (Entry.Peer == Peer)
    return;
  Entry.Peer = Peer;
  PeerLinks::Peers Wanted;
  for (const auto &Item : this->Tables)
    if (!Item.second.Peer.Name.empty())
      Wanted[Item.second.Peer.Name] = Item.second.Peer.Address;
  this->Links.setDesiredPeers(ChangesMethod, std::move(Wanted));
}

void TableRelay::handleChangesCall(IncomingCall Call) {
  const auto Query = decodeRelayQuery(Call.Request.Body);
  if (!Query) {
    Call.Answer(failure(Errc::Malformed));
    return;
  }
  const auto Found = this->Tables.find(Query->Table);
  // An instance that itself reads through another one would answer late.
  if (Found == this->Tables.end() || this->SelectPeer(Query->Table)) {
    Call.Answer(failure(Errc::Unavailable));
    return;
  }
  const PendingQuery Pending{*Query, std::move(Call), bootTime()};
  // Known changes are sent without waiting for the next read, if the table is
  // set to relay immediately.
  const auto Known = Found->second.Log.changesAfter(Query->After);
  if (Found->second.RelayImmediately && Known && !Known->Rows.empty())
    answerChangesQuery(Found->second, Pending);
  else
    Found->second.PendingQueries.push_back(Pending);
}

void TableRelay::answerChangesQuery(const Table &Entry,
                                    const PendingQuery &Pending) {
  auto Rows = Entry.Log.changesAfter(Pending.Query.After);
  if (!Rows) {
    Pending.Call.Answer(tl::unexpected<std::error_code>(Rows.error()));
    return;
  }
  const RelayAnswer Answer{std::move(*Rows), true,
                           Entry.AsOf - Pending.ArrivedAt};
  Pending.Call.Answer(Message{ChangesMethod, encodeRelayAnswer(Answer)});
}

void TableRelay::answerPendingQueries(Table &Entry, bool ReadSucceeded) {
  const std::vector<PendingQuery> PendingQueries =
      std::exchange(Entry.PendingQueries, {});
  for (const PendingQuery &Pending : PendingQueries)
    if (ReadSucceeded)
      answerChangesQuery(Entry, Pending);
    else
      Pending.Call.Answer(failure(Errc::Unavailable));
}

} // namespace rr
