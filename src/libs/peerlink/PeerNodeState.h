#ifndef REDWINGRACK_PEERLINK_PEERNODESTATE_H
#define REDWINGRACK_PEERLINK_PEERNODESTATE_H

#include "base/Random.h"
#include "peerlink/CallTable.h"
#include "peerlink/Link.h"
#include "peerlink/PeerNode.h"
#include "peerlink/PeerSlot.h"

#include <asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace rr {

/// Implementation of PeerNode. Owned jointly by the node and its coroutines.
class PeerNode::State : public std::enable_shared_from_this<PeerNode::State> {
public:
  State(asio::io_context &Context, PeerOptions Options);

  Outcome<void> start();
  void stop();
  Outcome<void> connect(const std::string &Peer, const std::string &Address);
  void disconnect(const std::string &Peer);

  Link *activeLink(const std::string &Peer) const;
  std::uint64_t call(const std::string &Peer, const Message &Request,
                     Clock::time_point Deadline, AnswerHandler Done);
  void cancelCall(std::uint64_t Call);
  void postFailure(AnswerHandler Done, Errc Reason);

  asio::io_context &Context;
  std::shared_ptr<LinkContext> Shared;
  std::uint16_t Port = 0;
  std::map<std::string, std::shared_ptr<PeerSlot>> Peers;
  EventHandler OnEvent;
  std::map<std::string, MessageHandler> OnMessage;
  std::map<std::string, CallHandler> OnCall;

private:
  using OpenCalls = std::map<std::uint64_t, CancellationPtr>;

  void setLinkCallbacks();
  asio::awaitable<void> acceptLoop(std::shared_ptr<State> Self);
  void accept(asio::ip::tcp::socket Socket);
  asio::awaitable<void> dialLoop(std::shared_ptr<State> Self,
                                 std::shared_ptr<PeerSlot> Slot);
  asio::awaitable<bool> dialOnce(PeerSlot &Slot);
  Clock::duration backOff(int Failures);
  void report(PeerEvent::Kind Type, const std::string &Peer,
              LinkEndReason Reason, const std::string &Address = std::string());

  std::optional<LinkEndReason> admit(Link &New);
  bool isPreferred(const Link &Candidate) const;
  PeerSlot &ensureSlot(const std::string &Peer);
  void onLinkUp(Link &New);
  void onLinkEnded(Link &Ended, LinkEndReason Reason);
  bool releaseSlot(Link &Ended);
  void endCalls(Link &Ended);

  void receive(Link &From, Envelope Received);
  void receiveMessage(Link &From, Envelope Received);
  void receiveCall(Link &From, Envelope Received);
  void receiveAnswer(Link &From, Envelope Received);
  void receiveCancel(Link &From, std::uint64_t Id);
  void answer(std::uint64_t Serial, std::uint64_t Id, Outcome<Message> Result);

  asio::ip::tcp::acceptor Acceptor;
  RandomEngine Jitter;
  bool Stopped = false;
  std::shared_ptr<CallTable> Calls;
  /// All links that are not closed, by serial number.
  std::map<std::uint64_t, std::shared_ptr<Link>> Links;
  std::size_t Inbound = 0;
  std::size_t Unauthenticated = 0;
  /// Incoming calls that are not answered yet, by the serial number of their
  /// link.
  std::map<std::uint64_t, OpenCalls> Incoming;
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_PEERNODESTATE_H
