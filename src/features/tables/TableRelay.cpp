#include "tables/TableRelay.h"

#include "links/PeerLinks.h"
#include "logging/EventLog.h"

#include <algorithm>

namespace rr {

namespace {

const std::string ChangesMethod = "changes";
/// Beyond the time that a read may wait; the other instance's own read and
/// the way between regions fit in.
constexpr Clock::duration AnswerTime = std::chrono::milliseconds(350);
/// After a failed call the store is read directly for this long.
constexpr Clock::duration DirectTime = std::chrono::seconds(5);

} // namespace

TableRelay::TableRelay(PeerLinks &Shared, const TableStore &Direct, Choice Who)
    : Links(Shared), Store(Direct), Chooser(std::move(Who)) {
  this->Links.onCall(ChangesMethod, [this](IncomingCall Call) {
    this->answerCall(std::move(Call));
  });
}

TableStore TableRelay::tables() {
  TableStore Result = this->Store;
  Result.ReadChanges = [this](std::string Name, std::uint64_t After,
                              Clock::duration Wait) {
    return this->readChanges(std::move(Name), After, Wait);
  };
  return Result;
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
    // A link that is being made is no failure.
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
  auto Read = co_await this->Store.ReadChanges(Name, After, Wait);
  if (Read)
    Entry.Log.append(After, *Read, Clock::now());
  this->answerWaiters(Entry, Read.has_value());
  co_return Read;
}

asio::awaitable<Outcome<TableRows>>
TableRelay::readRelayed(Table &Entry, RelayQuery Query, Clock::duration Wait) {
  const std::string Peer = Entry.Peer.Name;
  Message Request{ChangesMethod, encodeRelayQuery(Query)};
  const auto Answer = co_await this->Links.call(
      Peer, std::move(Request), Clock::now() + Wait + AnswerTime);
  Outcome<TableRows> Read = failure(Errc::Unavailable);
  if (Answer)
    Read = decodeRelayRows(Answer->Body);
  else
    Read = tl::unexpected<std::error_code>(Answer.error());
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
  this->Links.want(ChangesMethod, std::move(Wanted));
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
  Found->second.Waiters.push_back({*Query, std::move(Call)});
}

void TableRelay::answerWaiters(Table &Entry, bool Current) {
  const std::vector<Waiter> Waiters = std::exchange(Entry.Waiters, {});
  for (const Waiter &Item : Waiters) {
    Outcome<TableRows> Rows = failure(Errc::Unavailable);
    if (Current)
      Rows = Entry.Log.changesAfter(Item.Query.After);
    if (Rows)
      Item.Call.Answer(Message{ChangesMethod, encodeRelayRows(*Rows)});
    else
      Item.Call.Answer(tl::unexpected<std::error_code>(Rows.error()));
  }
}

} // namespace rr
