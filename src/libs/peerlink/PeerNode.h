#ifndef REDWINGRACK_PEERLINK_PEERNODE_H
#define REDWINGRACK_PEERLINK_PEERNODE_H

#include "base/Clock.h"
#include "base/Outcome.h"
#include "peerlink/IncomingCall.h"
#include "peerlink/Message.h"
#include "peerlink/PeerCounters.h"
#include "peerlink/PeerEvent.h"
#include "peerlink/PeerIdentity.h"
#include "peerlink/PeerOptions.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rr {

/// Links between this instance and others. Everything runs on the thread of
/// the context, handlers included. Handlers may call every member but must
/// not destroy the node.
class PeerNode {
public:
  using AnswerHandler = std::function<void(Outcome<Message>)>;
  using MessageHandler =
      std::function<void(const std::string &Peer, Message Received)>;
  using CallHandler = std::function<void(IncomingCall Call)>;
  using EventHandler = std::function<void(const PeerEvent &Event)>;

  PeerNode(asio::io_context &Context, PeerOptions Options);
  /// Stops the node.
  ~PeerNode();
  PeerNode(const PeerNode &) = delete;
  PeerNode &operator=(const PeerNode &) = delete;

  /// Listens. Errc::Malformed for an unusable address, name or secret.
  Outcome<void> start();
  /// Ends all links and stops listening; open calls end. Peers then see
  /// connections refused and take this as proof that the process has ended,
  /// so the caller must have stopped admitting requests.
  void stop();
  /// Port that the node listens at.
  std::uint16_t port() const;
  asio::any_io_executor executor() const;

  /// Keeps a link to the peer up, with back-off and jitter. A link that the
  /// peer opened counts. Errc::Malformed for an address that is not an IP
  /// number with a port.
  Outcome<void> connect(const std::string &Peer, const std::string &Address);
  /// Ends the link to the peer, whoever opened it, and opens no other.
  void disconnect(const std::string &Peer);

  bool isLinked(const std::string &Peer) const;
  std::vector<std::string> linkedPeers() const;
  std::optional<PeerIdentity> identityOf(const std::string &Peer) const;
  /// Last measured round trip of the link; empty before the first.
  std::optional<Clock::duration> roundTrip(const std::string &Peer) const;

  /// Sends without an answer. Errc::Unavailable without a link,
  /// Errc::LimitReached when the queue is full, Errc::TooLarge and
  /// Errc::Malformed for a message that must not be sent.
  Outcome<void> send(const std::string &Peer, const Message &Content);
  /// Encodes once and sends to each peer; returns how many took the message.
  std::size_t publish(const std::vector<std::string> &Peers,
                      const Message &Content);

  /// Calls a peer; \p Done runs exactly once, never within this function.
  /// Errors that say the peer did not run the call: Errc::Unavailable,
  /// Errc::LimitReached, Errc::TooLarge, Errc::Malformed, Errc::NotFound (no
  /// such method). After Errc::Timeout, Errc::ConnectionLost, Errc::Cancelled
  /// and Errc::Unknown it may have run. The returned number is for
  /// cancelCall(); it is zero when nothing was sent.
  std::uint64_t call(const std::string &Peer, const Message &Request,
                     Clock::time_point Deadline, AnswerHandler Done);
  /// Ends a call with Errc::Cancelled and tells the peer.
  void cancelCall(std::uint64_t Call);

  void onEvent(EventHandler Handler);
  void onMessage(const std::string &Method, MessageHandler Handler);
  void onCall(const std::string &Method, CallHandler Handler);

  /// For handlers that find a body malformed: drops the link and counts.
  void reportMalformed(const std::string &Peer);

  const PeerCounters &counters() const;

private:
  class State;
  std::shared_ptr<State> Core;
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_PEERNODE_H
