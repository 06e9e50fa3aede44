#include "tables/TableRelay.h"

#include "logging/EventLog.h"
#include "peerlink/PeerCoroutines.h"
#include "peerlink/PeerNode.h"

#include <algorithm>

namespace rr {

namespace {

const std::string ChangesMethod = "changes";
/// Beyond the time that a read may wait; the other instance's own read and
/// the way between regions fit in.
constexpr Clock::duration AnswerTime = std::chrono::milliseconds(350);
/// After a failed call the store is read directly for this long.
constexpr Clock::duration DirectTime = std::chrono::seconds(5);
/// Calls come about as often, and show silence sooner.
constexpr Clock::duration HeartbeatPeriod = std::chrono::seconds(4);
constexpr Clock::duration DeadAfter = std::chrono::seconds(9);

} // namespace

TableRelay::TableRelay(asio::io_context &Io, const TableStore &Direct,
                       Options What, Choice Who)
    : Context(Io), Store(Direct), Chosen(std::move(What)),
      Chooser(std::move(Who)) {}

TableRelay::~TableRelay() = default;

void TableRelay::start(const std::string &Secret) {
  if (this->Node || this->Chosen.ListenAddress.empty() || Secret.empty())
    return;
  PeerOptions Options;
  Options.Name = this->Chosen.Name;
  Options.Zone = this->Chosen.Zone;
  Options.ListenAddress = this->Chosen.ListenAddress;
  Options.SharedSecret = Secret;
  Options.Limits.HeartbeatPeriod = HeartbeatPeriod;
  Options.Limits.DeadAfter = DeadAfter;
  auto Started = std::make_unique<PeerNode>(this->Context, Options);
  Started->onCall(ChangesMethod, [this](IncomingCall Call) {
    this->answerCall(std::move(Call));
  });
  if (const auto Listening = Started->start(); !Listening) {
    logEvent(Event::RelayUnavailable, {{"address", this->Chosen.ListenAddress},
                                       {"error", Listening.error().message()}});
    // Tried once: the address stays the same for the life of the process.
    this->Chosen.ListenAddress.clear();
    return;
  }
  this->Node = std::move(Started);
}

void TableRelay::stop() {
  if (this->Node)
    this->Node->stop();
  this->Chosen.ListenAddress.clear();
}

std::uint16_t TableRelay::port() const {
  return this->Node ? this->Node->port() : 0;
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
  if (Wait > Clock::duration::zero() && this->Node &&
      Clock::now() >= Entry.DirectUntil) {
    const auto Peer = this->Chooser(Name);
    if (Peer)
      this->follow(Entry, *Peer);
    // A link that is being made is no failure.
    if (Peer && this->Node->isLinked(Peer->Name)) {
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
  const auto Answer = co_await callPeer(*this->Node, Peer, std::move(Request),
                                        Clock::now() + Wait + AnswerTime);
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
  const std::string Before = std::exchange(Entry.Peer, Peer).Name;
  const bool Needed = std::any_of(
      this->Tables.begin(), this->Tables.end(),
      [&](const auto &Item) { return Item.second.Peer.Name == Before; });
  if (!Before.empty() && !Needed)
    this->Node->disconnect(Before);
  if (const auto Wanted = this->Node->connect(Peer.Name, Peer.Address); !Wanted)
    logEvent(Event::RelayUnavailable,
             {{"address", Peer.Address}, {"error", Wanted.error().message()}});
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
