#include "keys/ControlNode.h"

#include "configuration/ConfigTransfer.h"
#include "keys/KeyFetch.h"
#include "keys/WithdrawalMessages.h"
#include "membership/MemberFetch.h"
#include "membership/MembershipJson.h"
#include "membership/Timing.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

namespace rr {

namespace {

using nlohmann::json;

// Pushes of one instance that are on their way at the same time.
constexpr std::size_t MostPushes = 32;
constexpr Clock::duration PushPeriod = std::chrono::milliseconds(250);

constexpr Clock::duration SeedPeriod = std::chrono::seconds(1);

// Longer than any interval of messages.
constexpr Clock::duration SendRetention = std::chrono::seconds(10);

// Reports of withdrawals that are in force and durable are kept this long.
constexpr Clock::duration ReportRetention = std::chrono::hours(1);

tl::unexpected<std::error_code> passOn(const std::error_code &Error) {
  return tl::unexpected<std::error_code>(Error);
}

} // namespace

ControlNode::ControlNode(asio::any_io_executor Executor, Member Self,
                         Platform Store, PeerCall Call)
    : Executor(std::move(Executor)), Store(std::move(Store)),
      Call(std::move(Call)), Members(std::move(Self)), Freshness(Members),
      Exchange(Members, Freshness) {}

void ControlNode::setShareEpoch(std::uint64_t Epoch) {
  this->ShareEpoch = Epoch;
  this->refreshHeld();
}

void ControlNode::refreshHeld() {
  this->Freshness.setHeld(
      {{this->Config.version(), this->Keys.version(), this->ShareEpoch},
       this->Keys.pendingDigest()});
}

void ControlNode::tick() {
  const Clock::time_point Now = Clock::now();
  this->Members.prune(Now);
  this->forgetOld(Now);
  this->startMessages(Now);
  this->startPushes(Now);
  this->startSeeds(Now);
  this->startStoreRound(Now);
}

void ControlNode::setSeeds(std::vector<std::string> Names) {
  this->Seeds = std::move(Names);
}

void ControlNode::startSeeds(Clock::time_point Now) {
  if (this->Freshness.isSynchronised() || Now < this->NextSeedRound)
    return;
  this->NextSeedRound = Now + SeedPeriod;
  for (const std::string &Seed : this->Seeds)
    if (Seed != this->Members.self().Name)
      this->fillLater(Seed, MessageGap());
}

void ControlNode::forgetOld(Clock::time_point Now) {
  std::erase_if(this->NextSend, [&](const auto &Item) {
    return Item.second + SendRetention < Now;
  });
  for (auto Next = this->Withdrawals.begin();
       Next != this->Withdrawals.end();) {
    WithdrawalTracker &Tracker = Next->second;
    const auto Report = Tracker.report(this->Members, Now);
    if (Report.InForce && Report.Durable &&
        Tracker.startedAt() + ReportRetention < Now)
      Next = this->Withdrawals.erase(Next);
    else
      ++Next;
  }
}

void ControlNode::startMessages(Clock::time_point Now) {
  const Clock::duration Period = this->Exchange.period(Now);
  const auto IsDue = [&](const std::string &Key, Clock::duration Interval) {
    Clock::time_point &Next = this->NextSend[Key];
    // A shorter interval holds at once, also for a message planned before.
    if (this->InFlight.count(Key) || (Now < Next && Next <= Now + Interval))
      return false;
    Next = Now + Interval;
    this->InFlight.insert(Key);
    return true;
  };
  for (const std::string &Peer : this->Exchange.heartbeatTargets(Now))
    if (IsDue("message " + Peer, Period))
      asio::co_spawn(this->Executor, this->exchangeWith(Peer, false),
                     asio::detached);
  for (const std::string &Peer : this->Exchange.zoneSummaryTargets(Now))
    if (IsDue("message " + Peer, Period))
      asio::co_spawn(this->Executor, this->exchangeWith(Peer, true),
                     asio::detached);
  for (const Member &Peer : this->Exchange.membersToProbe(Now))
    if (IsDue("probe " + Peer.Name, HeartbeatPeriod))
      asio::co_spawn(this->Executor, this->probe(Peer.Name), asio::detached);
}

void ControlNode::startPushes(Clock::time_point Now) {
  std::size_t Started = 0;
  for (auto &[Hash, Tracker] : this->Withdrawals) {
    if (Tracker.report(this->Members, Now).InForce)
      continue;
    for (const std::string &Peer : Tracker.missing(this->Members)) {
      const std::string Key = "push " + Peer + ' ' + toHex(Hash);
      Clock::time_point &Next = this->NextSend[Key];
      if (Now < Next || this->InFlight.count(Key) || Started == MostPushes)
        continue;
      ++Started;
      Next = Now + PushPeriod;
      this->InFlight.insert(Key);
      asio::co_spawn(this->Executor, this->push(Peer, Hash), asio::detached);
    }
  }
}

asio::awaitable<Outcome<json>>
ControlNode::call(std::string Peer, std::string Method, json Payload) {
  const MemberEntry *Entry = this->Members.find(Peer);
  const std::uint64_t Incarnation = Entry ? Entry->Record.Incarnation : 0;
  auto Result = co_await this->Call(Peer, Method, std::move(Payload));
  if (!Result && Result.error() == Errc::ConnectionRefused)
    this->Members.noteRefused(Peer, Incarnation);
  co_return Result;
}

asio::awaitable<void> ControlNode::exchangeWith(std::string Peer,
                                                bool IsRelayLink) {
  const Clock::time_point Start = Clock::now();
  std::string Method = "heartbeat";
  json Payload;
  if (IsRelayLink) {
    Method = "zone_summary";
    Payload = encode(this->Exchange.makeZoneSummary(Peer, Start));
  } else {
    Payload = encode(this->Exchange.makeHeartbeat(Peer, Start));
  }
  const auto Result = co_await this->call(Peer, Method, std::move(Payload));
  this->InFlight.erase("message " + Peer);
  if (!Result)
    co_return;
  const auto Answer = decodeSummary(*Result);
  if (!Answer)
    co_return;
  const MessageGap Gap = this->Exchange.receive(*Answer, Clock::now());
  this->fillLater(Peer, Gap);
}

asio::awaitable<void> ControlNode::probe(std::string Peer) {
  static_cast<void>(co_await this->call(Peer, "probe", json::object()));
  this->InFlight.erase("probe " + Peer);
}

asio::awaitable<void> ControlNode::push(std::string Peer, KeyHash Hash) {
  const WithdrawalPush Message{this->Members.self(), {Hash}};
  const auto Result = co_await this->call(Peer, "withdraw", encode(Message));
  this->InFlight.erase("push " + Peer + ' ' + toHex(Hash));
  if (!Result)
    co_return;
  const auto Ack = decodeWithdrawalAck(*Result);
  const auto Found = this->Withdrawals.find(Hash);
  if (!Ack || Found == this->Withdrawals.end())
    co_return;
  this->Members.merge(Ack->From);
  Found->second.noteAck(*Ack);
  // The peer may know members that this instance does not.
  if (Ack->ListDigest != this->Members.listDigest()) {
    static_cast<void>(co_await this->fetchMembers(Peer));
  }
}

void ControlNode::fillLater(const std::string &Peer, const MessageGap &Gap) {
  const bool StartsUp = !this->Freshness.isSynchronised();
  if (!Gap.State && !Gap.Members && !StartsUp)
    return;
  if (this->InFlight.insert("fill " + Peer).second)
    asio::co_spawn(this->Executor, this->fill(Peer, Gap), asio::detached);
}

asio::awaitable<void> ControlNode::fill(std::string Peer, MessageGap Gap) {
  const bool StartsUp = !this->Freshness.isSynchronised();
  bool HasMembers = true;
  if (StartsUp || Gap.Members)
    HasMembers = (co_await this->fetchMembers(Peer)).has_value();
  // Proof B counts the members that are known here, so the control state is
  // synchronised only together with the member list.
  if ((StartsUp && HasMembers) || (!StartsUp && Gap.State)) {
    static_cast<void>(co_await this->fetchConfig(Peer));
    if (this->Shares)
      co_await this->Shares(this->ShareEpoch, Peer);
    static_cast<void>(co_await this->fetchKeys(Peer));
  }
  this->InFlight.erase("fill " + Peer);
}

asio::awaitable<Outcome<void>> ControlNode::fetchMembers(std::string Peer) {
  const MemberFetch Message = makeMemberFetch(this->Members);
  const auto Result =
      co_await this->call(Peer, "fetch_members", encode(Message));
  if (!Result)
    co_return passOn(Result.error());
  const auto List = decodeMemberList(*Result);
  if (!List)
    co_return passOn(List.error());
  for (const Member &Report : *List)
    this->Members.merge(Report);
  co_return Outcome<void>();
}

asio::awaitable<Outcome<void>> ControlNode::fetchKeys(std::string Peer) {
  KeyFetch Message{this->Members.self(), this->Keys.version()};
  for (;;) {
    const auto Result =
        co_await this->call(Peer, "fetch_keys", encode(Message));
    if (!Result)
      co_return passOn(Result.error());
    const auto Answer = decodeKeyFetchAnswer(*Result);
    if (!Answer)
      co_return passOn(Answer.error());
    const auto Next = take(*Answer, this->Keys, this->Freshness);
    if (!Next)
      co_return passOn(Next.error());
    if (!*Next)
      co_return Outcome<void>();
    Message.After = **Next;
  }
}

asio::awaitable<Outcome<void>> ControlNode::fetchConfig(std::string Peer) {
  auto Result = co_await this->call(Peer, "config", json::object());
  if (!Result)
    co_return passOn(Result.error());
  const auto Announced = decodeConfigAnnouncement(*Result);
  if (!Announced)
    co_return passOn(Announced.error());
  ConfigTransfer Transfer;
  auto Next = Transfer.begin(*Announced, this->Config);
  while (Next) {
    Result = co_await this->call(Peer, "fetch_config", encode(*Next));
    if (!Result)
      co_return passOn(Result.error());
    const auto Chunk = decodeConfigChunk(*Result);
    if (!Chunk)
      co_return passOn(Chunk.error());
    const auto Taken = Transfer.processChunk(*Chunk, this->Config);
    if (!Taken)
      co_return passOn(Taken.error());
    Next = *Taken;
  }
  this->refreshHeld();
  co_return Outcome<void>();
}

Outcome<json> ControlNode::handle(const std::string &Method,
                                  const json &Payload) {
  const Clock::time_point Now = Clock::now();
  if (Method == "heartbeat") {
    const auto Message = decodeHeartbeat(Payload);
    if (!Message)
      return passOn(Message.error());
    const std::string &Sender = Message->Header.From.Name;
    this->fillLater(Sender, this->Exchange.receive(*Message, Now));
    return encode(this->Exchange.makeFleetSummary(Sender, Now));
  }
  if (Method == "zone_summary") {
    const auto Message = decodeSummary(Payload);
    if (!Message)
      return passOn(Message.error());
    const std::string &Sender = Message->Header.From.Name;
    this->fillLater(Sender, this->Exchange.receive(*Message, Now));
    return encode(this->Exchange.makeZoneSummary(Sender, Now));
  }
  if (Method == "withdraw") {
    const auto Message = decodeWithdrawalPush(Payload);
    if (!Message)
      return passOn(Message.error());
    return encode(take(*Message, this->Keys, this->Freshness, this->Members));
  }
  if (Method == "fetch_members") {
    const auto Message = decodeMemberFetch(Payload);
    if (!Message)
      return passOn(Message.error());
    return answer(*Message, this->Members);
  }
  if (Method == "fetch_keys") {
    const auto Message = decodeKeyFetch(Payload);
    if (!Message)
      return passOn(Message.error());
    return encode(answer(*Message, this->Keys, this->Freshness, this->Members));
  }
  if (Method == "fetch_config") {
    const auto Message = decodeConfigFetch(Payload);
    if (!Message)
      return passOn(Message.error());
    const auto Chunk = makeChunk(*Message, this->Config);
    if (!Chunk)
      return passOn(Chunk.error());
    return encode(*Chunk);
  }
  if (Method == "config")
    return encode(makeAnnouncement(this->Config));
  if (Method == "probe")
    return json::object();
  return failure(Errc::NotFound);
}

} // namespace rr
