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
/// Beyond the time that a read may wait; the other instance's own read and
/// the way between regions fit in.
constexpr Clock::duration AnswerTime = std::chrono::milliseconds(350);
/// After a failed call the store is read directly for this long.
constexpr Clock::duration DirectTime = std::chrono::seconds(5);
/// A whole table is waited for from another instance for this long.
constexpr Clock::duration SnapshotWait = std::chrono::seconds(3);
constexpr Clock::duration SnapshotTime = std::chrono::milliseconds(1500);
constexpr Clock::duration SnapshotPoll = std::chrono::milliseconds(100);
constexpr Clock::duration LinkWait = std::chrono::seconds(1);
/// One read serves all that ask within this time.
constexpr Clock::duration SnapshotAge = std::chrono::seconds(1);

std::string snapshotUser(const std::string &Table) {
  return SnapshotMethod + " " + Table;
}

} // namespace

TableRelay::TableRelay(PeerLinks &Shared, const TableStore &Direct, Choice Who)
    : Links(Shared), Store(Direct), Chooser(std::move(Who)) {
  this->Links.onCall(ChangesMethod, [this](IncomingCall Call) {
    this->answerCall(std::move(Call));
  });
  this->Links.onCall(SnapshotMethod, [this](IncomingCall Call) {
    this->answerSnapshotCall(std::move(Call));
  });
}

TableStore TableRelay::tables() {
  TableStore Result = this->Store;
  Result.ReadChanges = [this](std::string Name, std::uint64_t After,
                              Clock::duration Wait) {
    return this->readChanges(std::move(Name), After, Wait);
  };
  Result.ReadTable = [this](std::string Name) {
    return this->readTable(std::move(Name));
  };
  return Result;
}

asio::awaitable<Outcome<TableRows>> TableRelay::readTable(std::string Name) {
  const Clock::time_point End = Clock::now() + SnapshotWait;
  Outcome<TableRows> Read = failure(Errc::Unavailable);
  while (this->isPatient() && Clock::now() < End) {
    const auto Peer = this->Snapshots.Choose();
    if (Peer) {
      this->Links.setDesiredPeers(snapshotUser(Name),
                                  {{Peer->Name, Peer->Address}});
      if (this->Links.isLinked(Peer->Name)) {
        Read = co_await this->readSnapshot(Name, Peer->Name);
        break;
      }
    }
    co_await sleepFor(SnapshotPoll);
  }
  // The link stays until the changes are followed, perhaps through the same
  // instance.
  if (Read)
    co_return Read;
  co_return co_await this->Store.ReadTable(std::move(Name));
}

asio::awaitable<Outcome<TableRows>> TableRelay::readSnapshot(std::string Name,
                                                             std::string Peer) {
  const Clock::time_point Start = bootTime();
  Message Request{SnapshotMethod, encodeRelayQuery({Name, 0})};
  const auto Answer = co_await this->Links.call(Peer, std::move(Request),
                                                Clock::now() + SnapshotTime);
  auto Decoded = Answer ? decodeRelayAnswer(Answer->Body)
                        : tl::unexpected<std::error_code>(Answer.error());
  if (!Decoded) {
    logEvent(Event::RelayFailed, {{"table", Name},
                                  {"instance", Peer},
                                  {"error", Decoded.error().message()}});
    co_return tl::unexpected<std::error_code>(Decoded.error());
  }
  ++this->Relayed;
  Decoded->Rows.Relayed = true;
  Decoded->Rows.AsOf = Start + Decoded->AsOfArrival;
  co_return std::move(Decoded->Rows);
}

void TableRelay::answerSnapshotCall(IncomingCall Call) {
  const auto Query = decodeRelayQuery(Call.Request.Body);
  if (!Query) {
    Call.Answer(failure(Errc::Malformed));
    return;
  }
  // Only what this instance follows itself, and not while it waits for others.
  const auto Found = this->Tables.find(Query->Table);
  if (Found == this->Tables.end() || this->isPatient()) {
    Call.Answer(failure(Errc::Unavailable));
    return;
  }
  Table &Entry = Found->second;
  const Waiter Item{*Query, std::move(Call), bootTime()};
  if (Entry.Snapshot) {
    answerSnapshot(Entry, Item);
    return;
  }
  Entry.SnapshotWaiters.push_back(Item);
  if (Entry.SnapshotWaiters.size() == 1)
    asio::co_spawn(this->Links.context(), this->readForOthers(Query->Table),
                   asio::detached);
}

asio::awaitable<void> TableRelay::readForOthers(std::string Name) {
  Table &Entry = this->Tables[Name];
  const Clock::time_point Start = bootTime();
  auto Read = co_await this->Store.ReadTable(Name);
  if (Read) {
    Entry.Snapshot = std::move(*Read);
    Entry.SnapshotAsOf = Start;
  }
  for (const Waiter &Item : std::exchange(Entry.SnapshotWaiters, {}))
    if (Entry.Snapshot)
      answerSnapshot(Entry, Item);
    else
      Item.Call.Answer(failure(Errc::Unavailable));
  co_await sleepFor(SnapshotAge);
  Entry.Snapshot.reset();
}

void TableRelay::answerSnapshot(const Table &Entry, const Waiter &Item) {
  const RelayAnswer Answer{*Entry.Snapshot,
                           Entry.SnapshotAsOf - Item.ArrivedAt};
  Item.Call.Answer(Message{SnapshotMethod, encodeRelayAnswer(Answer)});
}

asio::awaitable<Outcome<TableRows>>
TableRelay::readChanges(std::string Name, std::uint64_t After,
                        Clock::duration Wait) {
  Table &Entry = this->Tables[Name];
  if (Wait > Clock::duration::zero() && this->Links.isStarted() &&
      Clock::now() >= Entry.DirectUntil) {
    const auto Peer = this->Chooser(Name);
    if (Peer)
      this->follow(Entry, *Peer);
    this->Links.setDesiredPeers(snapshotUser(Name), {});
    // One that is in no hurry waits for a link that is being made.
    const Clock::time_point End = Clock::now() + LinkWait;
    while (Peer && this->isPatient() && !this->Links.isLinked(Peer->Name) &&
           Clock::now() < End)
      co_await sleepFor(SnapshotPoll);
    // For others it is no failure.
    if (Peer && this->Links.isLinked(Peer->Name)) {
      this->answerWaiters(Entry, false);
      RelayQuery Query{Name, After};
      auto Read = co_await this->readRelayed(Entry, std::move(Query), Wait);
      if (Read)
        co_return Read;
      // Time has passed; the store is asked for what is there now.
      Wait = Clock::duration::zero();
    }
  }
  const Clock::time_point Start = bootTime();
  auto Read = co_await this->Store.ReadChanges(Name, After, Wait);
  if (Read) {
    Entry.Log.append(After, *Read, Clock::now());
    Entry.AsOf = std::max(Entry.AsOf, provenTime(*Read, Start, Wait));
  }
  this->answerWaiters(Entry, Read.has_value());
  co_return Read;
}

asio::awaitable<Outcome<TableRows>>
TableRelay::readRelayed(Table &Entry, RelayQuery Query, Clock::duration Wait) {
  const std::string Peer = Entry.Peer.Name;
  const Clock::time_point Start = bootTime();
  Message Request{ChangesMethod, encodeRelayQuery(Query)};
  const auto Answer = co_await this->Links.call(
      Peer, std::move(Request), Clock::now() + Wait + AnswerTime);
  Outcome<TableRows> Read = failure(Errc::Unavailable);
  const auto Decoded = Answer ? decodeRelayAnswer(Answer->Body)
                              : tl::unexpected<std::error_code>(Answer.error());
  if (Decoded) {
    Read = Decoded->Rows;
    // The query arrived there later than it was sent.
    Read->AsOf = Start + Decoded->AsOfArrival;
  } else {
    Read = tl::unexpected<std::error_code>(Decoded.error());
  }
  if (Read) {
    ++this->Relayed;
    Read->Relayed = true;
    Entry.Log.clear();
  } else {
    Entry.DirectUntil = Clock::now() + DirectTime;
    logEvent(Event::RelayFailed, {{"table", Query.Table},
                                  {"instance", Peer},
                                  {"error", Read.error().message()}});
  }
  co_return Read;
}

void TableRelay::follow(Table &Entry, const RelayPeer &Peer) {
  if (Entry.Peer == Peer)
    return;
  Entry.Peer = Peer;
  PeerLinks::Peers Wanted;
  for (const auto &Item : this->Tables)
    if (!Item.second.Peer.Name.empty())
      Wanted[Item.second.Peer.Name] = Item.second.Peer.Address;
  this->Links.setDesiredPeers(ChangesMethod, std::move(Wanted));
}

void TableRelay::answerCall(IncomingCall Call) {
  const auto Query = decodeRelayQuery(Call.Request.Body);
  if (!Query) {
    Call.Answer(failure(Errc::Malformed));
    return;
  }
  const auto Found = this->Tables.find(Query->Table);
  // An instance that follows another one would answer late.
  if (Found == this->Tables.end() || this->Chooser(Query->Table)) {
    Call.Answer(failure(Errc::Unavailable));
    return;
  }
  const Waiter Item{*Query, std::move(Call), bootTime()};
  // What is there already does not wait for the next read.
  const auto Known = Found->second.Log.changesAfter(Query->After);
  if (Found->second.Prompt && Known && !Known->Rows.empty())
    answerWaiter(Found->second, Item);
  else
    Found->second.Waiters.push_back(Item);
}

void TableRelay::answerWaiter(const Table &Entry, const Waiter &Item) {
  auto Rows = Entry.Log.changesAfter(Item.Query.After);
  if (!Rows) {
    Item.Call.Answer(tl::unexpected<std::error_code>(Rows.error()));
    return;
  }
  const RelayAnswer Answer{std::move(*Rows), Entry.AsOf - Item.ArrivedAt};
  Item.Call.Answer(Message{ChangesMethod, encodeRelayAnswer(Answer)});
}

void TableRelay::answerWaiters(Table &Entry, bool Current) {
  const std::vector<Waiter> Waiters = std::exchange(Entry.Waiters, {});
  for (const Waiter &Item : Waiters)
    if (Current)
      answerWaiter(Entry, Item);
    else
      Item.Call.Answer(failure(Errc::Unavailable));
}

} // namespace rr
