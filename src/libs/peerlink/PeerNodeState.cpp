#include "peerlink/PeerNodeState.h"

#include "peerlink/PeerAddress.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/post.hpp>
#include <utility>
#include <vector>

namespace rr {

PeerNode::State::State(asio::io_context &Context, PeerOptions Options)
    : Context(Context), Host(std::make_shared<LinkHost>()), Acceptor(Context),
      Jitter(Options.JitterSeed ? *Options.JitterSeed : randomSeed()),
      Calls(std::make_shared<CallTable>(Context.get_executor())) {
  this->Host->Options = std::move(Options);
  this->Host->Incarnation = randomToken();
  this->fillHost();
}

// The links call back only until they have ended, and stop() ends all of them
// before the state goes.
void PeerNode::State::fillHost() {
  this->Host->OnAuthenticated = [this](Link &New) { return this->admit(New); };
  this->Host->OnUp = [this](Link &New) { this->linkUp(New); };
  this->Host->OnEnvelope = [this](Link &From, Envelope Received) {
    this->receive(From, std::move(Received));
  };
  this->Host->OnEnd = [this](Link &Ended, LinkEnd Reason) {
    this->linkEnded(Ended, Reason);
  };
  this->Host->IsInUse = [this](const Link &Candidate) {
    return this->Incoming.count(Candidate.serial()) > 0 ||
           this->Calls->countOn(Candidate) > 0;
  };
}

Outcome<void> PeerNode::State::start() {
  const PeerOptions &Options = this->Host->Options;
  const auto Address = parsePeerAddress(Options.ListenAddress);
  if (!Address || Options.Name.empty() || Options.Zone.empty() ||
      Options.SharedSecret.empty())
    return failure(Errc::Malformed);
  asio::error_code Error;
  this->Acceptor.open(Address->protocol(), Error);
  if (!Error)
    this->Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    this->Acceptor.bind(*Address, Error);
  if (!Error)
    this->Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return tl::unexpected<std::error_code>(Error);
  this->Port = this->Acceptor.local_endpoint(Error).port();
  asio::co_spawn(this->Context, this->acceptLoop(this->shared_from_this()),
                 asio::detached);
  return {};
}

void PeerNode::State::stop() {
  if (this->Stopped)
    return;
  this->Stopped = true;
  asio::error_code Ignored;
  this->Acceptor.close(Ignored);
  for (const auto &[Name, Slot] : this->Peers)
    Slot->giveUp();
  while (!this->Links.empty()) {
    const auto Kept = this->Links.begin()->second;
    Kept->end(LinkEnd::Stopped);
  }
  this->Calls->stop();
  this->Peers.clear();
  this->OnEvent = nullptr;
  this->OnMessage.clear();
  this->OnCall.clear();
}

Outcome<void> PeerNode::State::connect(const std::string &Peer,
                                       const std::string &Address) {
  const auto Target = parsePeerAddress(Address);
  if (!Target || Peer.empty() || Peer == this->Host->Options.Name)
    return failure(Errc::Malformed);
  if (this->Stopped)
    return failure(Errc::Unavailable);
  PeerSlot &Slot = this->slotOf(Peer);
  Slot.Address = *Target;
  Slot.Wanted = true;
  if (!Slot.DialerRuns) {
    Slot.DialerRuns = true;
    asio::co_spawn(
        this->Context,
        this->dialLoop(this->shared_from_this(), this->Peers.at(Peer)),
        asio::detached);
  }
  Slot.Wake.cancel();
  return {};
}

PeerSlot &PeerNode::State::slotOf(const std::string &Peer) {
  auto &Slot = this->Peers[Peer];
  if (!Slot) {
    Slot = std::make_shared<PeerSlot>(this->Context.get_executor());
    Slot->Name = Peer;
  }
  return *Slot;
}

void PeerNode::State::disconnect(const std::string &Peer) {
  const auto Found = this->Peers.find(Peer);
  if (Found == this->Peers.end())
    return;
  const auto Slot = Found->second;
  this->Peers.erase(Found);
  Slot->giveUp();
  std::vector<std::shared_ptr<Link>> Ending;
  for (const auto &[Key, Candidate] : this->Links)
    if (Candidate->expectedName() == Peer || Candidate->peer().Name == Peer)
      Ending.push_back(Candidate);
  const bool WasUp = Slot->Active != nullptr;
  Slot->Active = nullptr;
  for (const auto &Candidate : Ending)
    Candidate->end(LinkEnd::Stopped);
  if (WasUp) {
    ++this->Host->Counters.LinksDown;
    this->report(PeerEvent::Kind::LinkDown, Peer, LinkEnd::Stopped);
  }
}

void PeerNode::State::report(PeerEvent::Kind What, const std::string &Peer,
                             LinkEnd Reason, const std::string &Address) {
  if (!this->OnEvent)
    return;
  const EventHandler Kept = this->OnEvent;
  Kept({What, Peer, Reason, Address});
}

Link *PeerNode::State::activeLink(const std::string &Peer) const {
  const auto Found = this->Peers.find(Peer);
  return Found == this->Peers.end() ? nullptr : Found->second->Active.get();
}

bool PeerNode::State::isPreferred(const Link &Candidate) const {
  // Both ends keep the link that the instance with the smaller name opened.
  return Candidate.isDialer() ==
         (this->Host->Options.Name < Candidate.peer().Name);
}

std::optional<LinkEnd> PeerNode::State::admit(Link &New) {
  if (New.peer().Name == this->Host->Options.Name)
    return LinkEnd::WrongName;
  const Link *Active = this->activeLink(New.peer().Name);
  if (!Active || Active->peer().Incarnation != New.peer().Incarnation ||
      Active->isDialer() == New.isDialer() || this->isPreferred(New))
    return std::nullopt;
  // The acceptor of a dialed link may have sent on it by now, so the dialer
  // keeps it until it is idle (linkUp).
  if (New.isDialer())
    return std::nullopt;
  return LinkEnd::Duplicate;
}

void PeerNode::State::linkUp(Link &New) {
  --this->Unauthenticated;
  const std::string Name = New.peer().Name;
  PeerSlot &Slot = this->slotOf(Name);
  if (Slot.Dialing.get() == &New)
    Slot.Dialing = nullptr;
  Slot.Wake.cancel();
  const auto Old = Slot.Active;
  const bool SameProcess =
      Old && Old->peer().Incarnation == New.peer().Incarnation;
  if (SameProcess && Old->isDialer() != New.isDialer()) {
    if (!this->isPreferred(New))
      return New.retire();
    Slot.Active = New.shared_from_this();
    return Old->retire();
  }
  // The other end gave the old link up, or it is a new process.
  if (Old)
    Old->end(LinkEnd::Lost);
  Slot.Active = New.shared_from_this();
  ++this->Host->Counters.LinksUp;
  this->report(PeerEvent::Kind::LinkUp, Name, LinkEnd::Lost);
}

void PeerNode::State::linkEnded(Link &Ended, LinkEnd Reason) {
  this->Links.erase(Ended.serial());
  if (!Ended.isDialer())
    --this->Inbound;
  if (!Ended.wasUp())
    --this->Unauthenticated;
  const bool WasActive = this->releaseSlot(Ended);
  this->endCalls(Ended);
  if (WasActive) {
    ++this->Host->Counters.LinksDown;
    this->report(PeerEvent::Kind::LinkDown, Ended.peer().Name, Reason);
  } else if (!Ended.wasUp() && Reason != LinkEnd::Duplicate) {
    this->report(PeerEvent::Kind::HandshakeFailed, Ended.expectedName(), Reason,
                 Ended.remoteAddress());
  }
}

// Returns whether the link was the one that new messages use.
bool PeerNode::State::releaseSlot(Link &Ended) {
  const auto Found = this->Peers.find(Ended.wasUp() ? Ended.peer().Name
                                                    : Ended.expectedName());
  if (Found == this->Peers.end())
    return false;
  const auto Slot = Found->second;
  const bool WasActive = Slot->Active.get() == &Ended;
  if (WasActive)
    Slot->Active = nullptr;
  if (Slot->Dialing.get() == &Ended)
    Slot->Dialing = nullptr;
  Slot->Wake.cancel();
  if (!Slot->Wanted && !Slot->Active)
    this->Peers.erase(Found);
  return WasActive;
}

void PeerNode::State::endCalls(Link &Ended) {
  this->Calls->failLink(Ended);
  const auto Found = this->Incoming.find(Ended.serial());
  if (Found == this->Incoming.end())
    return;
  const OpenCalls Callers = std::move(Found->second);
  this->Incoming.erase(Found);
  for (const auto &[Id, Caller] : Callers)
    Caller->cancel();
}

} // namespace rr
