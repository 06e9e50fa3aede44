#include "links/PeerLinks.h"

#include "logging/EventLog.h"
#include "peerlink/PeerCoroutines.h"
#include "peerlink/PeerNode.h"

#include <utility>

namespace rr {

namespace {

/// Longer than the usual time between calls, which detect a dead peer sooner.
constexpr Clock::duration HeartbeatPeriod = std::chrono::seconds(4);
constexpr Clock::duration PeerTimeout = std::chrono::seconds(9);

} // namespace

PeerLinks::PeerLinks(asio::io_context &Io, Options InitialOptions)
    : Context(Io), LinkOptions(std::move(InitialOptions)) {}

PeerLinks::~PeerLinks() = default;

void PeerLinks::onCall(const std::string &Method, CallHandler Handler) {
  this->CallHandlers[Method] = std::move(Handler);
}

void PeerLinks::onMessage(const std::string &Method, MessageHandler Handler) {
  this->MessageHandlers[Method] = std::move(Handler);
}

void PeerLinks::start(const std::string &Secret) {
  if (this->Node || this->LinkOptions.ListenAddress.empty() || Secret.empty())
    return;
  PeerOptions Options;
  Options.Name = this->LinkOptions.Name;
  Options.Zone = this->LinkOptions.Zone;
  Options.ListenAddress = this->LinkOptions.ListenAddress;
  Options.SharedSecret = Secret;
  Options.Limits.HeartbeatInterval = HeartbeatPeriod;
  Options.Limits.SilenceTimeout = PeerTimeout;
  Options.Limits.MaxInboundLinks = this->LinkOptions.MaxInboundLinks;
  Options.Limits.MaxTotalQueueBytes = this->LinkOptions.MaxQueuedBytes;
  auto NewNode = std::make_unique<PeerNode>(this->Context, Options);
  for (const auto &[Method, Handler] : this->CallHandlers)
    NewNode->onCall(Method, Handler);
  for (const auto &[Method, Handler] : this->MessageHandlers)
    NewNode->onMessage(Method, Handler);
  if (const auto Listening = NewNode->start(); !Listening) {
    // The port may still be in use by an earlier process or by an outgoing
    // connection, so the next call tries again.
    if (!std::exchange(this->ListenFailed, true))
      logEvent(Event::RelayUnavailable,
               {{"address", this->LinkOptions.ListenAddress},
                {"error", Listening.error().message()}});
    return;
  }
  this->Node = std::move(NewNode);
  this->updateConnections();
}

void PeerLinks::stop() {
  if (this->Node)
    this->Node->stop();
  this->LinkOptions.ListenAddress.clear();
}

std::uint16_t PeerLinks::port() const {
  return this->Node ? this->Node->port() : 0;
}

void PeerLinks::setDesiredPeers(const std::string &User, Peers Desired) {
  Peers &Previous = this->DesiredByUser[User];
  if (Previous == Desired)
    return;
  Previous = std::move(Desired);
  this->updateConnections();
}

void PeerLinks::updateConnections() {
  if (!this->Node)
    return;
  Peers All;
  for (const auto &Item : this->DesiredByUser)
    All.insert(Item.second.begin(), Item.second.end());
  for (const auto &Item : this->Connected)
    if (!All.contains(Item.first))
      this->Node->disconnect(Item.first);
  for (const auto &[Peer, Address] : All) {
    const auto Known = this->Connected.find(Peer);
    if (Known != this->Connected.end() && Known->second == Address)
      continue;
    if (const auto Connecting = this->Node->connect(Peer, Address); !Connecting)
      logEvent(Event::RelayUnavailable,
               {{"address", Address}, {"error", Connecting.error().message()}});
  }
  this->Connected = std::move(All);
}

bool PeerLinks::isLinked(const std::string &Peer) const {
  return this->Node && this->Node->isLinked(Peer);
}

std::size_t PeerLinks::linkCount() const {
  return this->Node ? this->Node->linkedPeers().size() : 0;
}

asio::awaitable<Outcome<Message>>
PeerLinks::call(std::string Peer, Message Request, Clock::time_point Deadline) {
  if (!this->Node)
    co_return failure(Errc::Unavailable);
  co_return co_await callPeer(*this->Node, std::move(Peer), std::move(Request),
                              Deadline);
}

Outcome<void> PeerLinks::send(const std::string &Peer, const Message &Content) {
  if (!this->Node)
    return failure(Errc::Unavailable);
  return this->Node->send(Peer, Content);
}

std::size_t PeerLinks::publish(const Message &Content,
                               const std::string &Except) {
  if (!this->Node)
    return 0;
  std::vector<std::string> Peers = this->Node->linkedPeers();
  std::erase(Peers, Except);
  return this->Node->publish(Peers, Content);
}

void PeerLinks::reportMalformed(const std::string &Peer) {
  if (this->Node)
    this->Node->reportMalformed(Peer);
}

} // namespace rr
