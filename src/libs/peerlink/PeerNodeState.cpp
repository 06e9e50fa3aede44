#include "peerlink/PeerNodeState.h"

#include "peerlink/PeerAddress.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/post.hpp>
#include <utility>
#include <vector>

namespace rr {

PeerNode::State::State(asio::io_context &Context, PeerOptions Options)
    : Context(Context), Shared(std::make_shared<LinkContext>()),
      Acceptor(Context),
      Jitter(Options.JitterSeed ? *Options.JitterSeed : randomSeed()),
      Calls(std::make_shared<CallTable>(Context.get_executor())) {
  this->Shared->Options = std::move(Options);
  this->Shared->Incarnation = randomToken();
  this->setLinkCallbacks();
}

// Capturing this is safe: links do not call back once they are closed, and
// stop() closes all of them before the state is destroyed.
void PeerNode::State::setLinkCallbacks() {
  this->Shared->OnAuthenticated = [this](Link &New) {
    return this->admit(New);
  };
  this->Shared->OnUp = [this](Link &New) { this->onLinkUp(New); };
  this->Shared->OnEnvelope = [this](Link &From, Envelope Received) {
    this->receive(From, std::move(Received));
  };
  this->Shared->OnEnd = [this](Link &Ended, LinkEndReason Reason) {
    this->onLinkEnded(Ended, Reason);
  };
  this->Shared->HasOpenCalls = [this](const Link &Candidate) {
    return this->Incoming.count(Candidate.serial()) > 0 ||
           this->Calls->countOn(Candidate) > 0;
  };
}

Outcome<void> PeerNode::State::start() {
  const PeerOptions &Options = this->Shared->Options;
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
    Slot->stopDialing();
  while (!this->Links.empty()) {
    const auto Kept = this->Links.begin()->second;
    Kept->end(LinkEndReason::Stopped);
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
  if (!Target || Peer.empty() || Peer == this->Shared->Options.Name)
    return failure(Errc::Malformed);
  if (this->Stopped)
    return failure(Errc::Unavailable);
  PeerSlot &Slot = this->ensureSlot(Peer);
  Slot.Address = *Target;
  Slot.KeepLinked = true;
  if (!Slot.DialLoopRunning) {
    Slot.DialLoopRunning = true;
    asio::co_spawn(
        this->Context,
        this->dialLoop(this->shared_from_this(), this->Peers.at(Peer)),
        asio::detached);
  }
  Slot.WakeTimer.cancel();
  return {};
}

PeerSlot &PeerNode::State::ensureSlot(const std::string &Peer) {
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
  Slot->stopDialing();
  std::vector<std::shared_ptr<Link>> Ending;
  for (const auto &[Key, Candidate] : this->Links)
    if (Candidate->expectedName() == Peer || Candidate->peer().Name == Peer)
      Ending.push_back(Candidate);
  const bool WasUp = Slot->Active != nullptr;
  Slot->Active = nullptr;
  for (const auto &Candidate : Ending)
    Candidate->end(LinkEndReason::Stopped);
  if (WasUp) {
    ++this->Shared->Counters.LinksDown;
    this->report(PeerEvent::Kind::LinkDown, Peer, LinkEndReason::Stopped);
  }
}

void PeerNode::State::report(PeerEvent::Kind Type, const std::string &Peer,
                             LinkEndReason Reason, const std::string &Address) {
  if (!this->OnEvent)
    return;
  const EventHandler Kept = this->OnEvent;
  Kept({Type, Peer, Reason, Address});
}

Link *PeerNode::State::activeLink(const std::string &Peer) const {
  const auto Found = this->Peers.find(Peer);
  return Found == this->Peers.end() ? nullptr : Found->second->Active.get();
}

bool PeerNode::State::isPreferred(const Link &Candidate) const {
  // Both ends must choose the same link: the one opened by the instance with
  // the smaller name.
  return Candidate.isDialer() ==
         (this->Shared->Options.Name < Candidate.peer().Name);
}

std::optional<LinkEndReason> PeerNode::State::admit(Link &New) {
  if (New.peer().Name == this->Shared->Options.Name)
    return LinkEndReason::WrongName;
  const Link *Active = this->activeLink(New.peer().Name);
  if (!Active || Active->peer().Incarnation != New.peer().Incarnation ||
      Active->isDialer() == New.isDialer() || this->isPreferred(New))
    return std::nullopt;
  // The acceptor may already have sent messages on this link, so the dialer
  // accepts it and retires it in onLinkUp().
  if (New.isDialer())
    return std::nullopt;
  return LinkEndReason::Duplicate;
}

void PeerNode::State::onLinkUp(Link &New) {
  --this->Unauthenticated;
  const std::string Name = New.peer().Name;
  PeerSlot &Slot = this->ensureSlot(Name);
  if (Slot.PendingLink.get() == &New)
    Slot.PendingLink = nullptr;
  Slot.WakeTimer.cancel();
  const auto Old = Slot.Active;
  const bool SameProcess =
      Old && Old->peer().Incarnation == New.peer().Incarnation;
  if (SameProcess && Old->isDialer() != New.isDialer()) {
    if (!this->isPreferred(New))
      return New.retire();
    Slot.Active = New.shared_from_this();
    return Old->retire();
  }
  // The other end has closed the old link, or its process was restarted.
  if (Old)
    Old->end(LinkEndReason::Lost);
  Slot.Active = New.shared_from_this();
  ++this->Shared->Counters.LinksUp;
  this->report(PeerEvent::Kind::LinkUp, Name, LinkEndReason::Lost);
}

void PeerNode::State::onLinkEnded(Link &Ended, LinkEndReason Reason) {
  this->Links.erase(Ended.serial());
  if (!Ended.isDialer())
    --this->Inbound;
  if (!Ended.wasUp())
    --this->Unauthenticated;
  const bool WasActive = this->releaseSlot(Ended);
  this->endCalls(Ended);
  if (WasActive) {
    ++this->Shared->Counters.LinksDown;
    this->report(PeerEvent::Kind::LinkDown, Ended.peer().Name, Reason);
  } else if (!Ended.wasUp() && Reason != LinkEndReason::Duplicate) {
    this->report(PeerEvent::Kind::HandshakeFailed, Ended.expectedName(), Reason,
                 Ended.remoteAddress());
  }
}

// Returns whether the link was the active one.
bool PeerNode::State::releaseSlot(Link &Ended) {
  const auto Found = this->Peers.find(Ended.wasUp() ? Ended.peer().Name
                                                    : Ended.expectedName());
  if (Found == this->Peers.end())
    return false;
  const auto Slot = Found->second;
  const bool WasActive = Slot->Active.get() == &Ended;
  if (WasActive)
    Slot->Active = nullptr;
  if (Slot->PendingLink.get() == &Ended)
    Slot->PendingLink = nullptr;
  Slot->WakeTimer.cancel();
  if (!Slot->KeepLinked && !Slot->Active)
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
