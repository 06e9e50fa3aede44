#include "peerlink/PeerNode.h"

#include "peerlink/PeerNodeState.h"

#include <utility>

namespace rr {

namespace {

std::string encodeOneWay(const Message &Content) {
  Envelope Wrapped;
  Wrapped.Content = Content;
  return encodeEnvelope(Wrapped);
}

} // namespace

PeerNode::PeerNode(asio::io_context &Context, PeerOptions Options)
    : Core(std::make_shared<State>(Context, std::move(Options))) {}

PeerNode::~PeerNode() { this->Core->stop(); }

Outcome<void> PeerNode::start() { return this->Core->start(); }

void PeerNode::stop() { this->Core->stop(); }

std::uint16_t PeerNode::port() const { return this->Core->Port; }

asio::any_io_executor PeerNode::executor() const {
  return this->Core->Context.get_executor();
}

Outcome<void> PeerNode::connect(const std::string &Peer,
                                const std::string &Address) {
  return this->Core->connect(Peer, Address);
}

void PeerNode::disconnect(const std::string &Peer) {
  this->Core->disconnect(Peer);
}

bool PeerNode::isLinked(const std::string &Peer) const {
  return this->Core->activeLink(Peer) != nullptr;
}

std::vector<std::string> PeerNode::linkedPeers() const {
  std::vector<std::string> Result;
  for (const auto &[Name, Slot] : this->Core->Peers)
    if (Slot->Active)
      Result.push_back(Name);
  return Result;
}

std::optional<PeerIdentity>
PeerNode::identityOf(const std::string &Peer) const {
  const Link *Active = this->Core->activeLink(Peer);
  if (!Active)
    return std::nullopt;
  return Active->peer();
}

std::optional<Clock::duration>
PeerNode::roundTrip(const std::string &Peer) const {
  const Link *Active = this->Core->activeLink(Peer);
  return Active ? Active->roundTrip() : std::nullopt;
}

Outcome<void> PeerNode::send(const std::string &Peer, const Message &Content) {
  if (!isMethodName(Content.Method))
    return failure(Errc::Malformed);
  Link *Active = this->Core->activeLink(Peer);
  if (!Active)
    return failure(Errc::Unavailable);
  return Active->send(encodeOneWay(Content));
}

std::size_t PeerNode::publish(const std::vector<std::string> &Peers,
                              const Message &Content) {
  if (!isMethodName(Content.Method))
    return 0;
  const std::string Encoded = encodeOneWay(Content);
  std::size_t Taken = 0;
  for (const std::string &Peer : Peers) {
    Link *Active = this->Core->activeLink(Peer);
    if (Active && Active->send(Encoded))
      ++Taken;
  }
  return Taken;
}

std::uint64_t PeerNode::call(const std::string &Peer, const Message &Request,
                             Clock::time_point Deadline, AnswerHandler Done) {
  return this->Core->call(Peer, Request, Deadline, std::move(Done));
}

void PeerNode::cancelCall(std::uint64_t Call) { this->Core->cancelCall(Call); }

void PeerNode::onEvent(EventHandler Handler) {
  this->Core->OnEvent = std::move(Handler);
}

void PeerNode::onMessage(const std::string &Method, MessageHandler Handler) {
  this->Core->OnMessage[Method] = std::move(Handler);
}

void PeerNode::onCall(const std::string &Method, CallHandler Handler) {
  this->Core->OnCall[Method] = std::move(Handler);
}

void PeerNode::reportMalformed(const std::string &Peer) {
  if (Link *Active = this->Core->activeLink(Peer))
    Active->end(LinkEndReason::Malformed);
}

const PeerCounters &PeerNode::counters() const {
  return this->Core->Shared->Counters;
}

} // namespace rr
