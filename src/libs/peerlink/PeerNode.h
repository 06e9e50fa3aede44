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

/// Manages the links between this instance and others. Everything, including
/// the handlers, runs on the thread of the context. Handlers may call any
/// member function but must not destroy the node.
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

  /// Starts listening. Errc::Malformed for an invalid address, or an empty
  /// name, availability zone or secret; a system error when listening fails.
  Outcome<void> start();
  /// Closes all links, ends open calls and stops listening. Peers whose
  /// connections are refused from then on conclude that the process has ended,
  /// so the caller must stop admitting requests first.
  void stop();
  /// Port on which the node listens.
  std::uint16_t port() const;
  asio::any_io_executor executor() const;

  /// Keeps a link to the peer up and reconnects with back-off and jitter. Opens
  /// none while there is a link that the peer opened. Errc::Malformed for an
  /// address that is not IP:PORT and for an empty or the own name,
  /// Errc::Unavailable after stop().
  Outcome<void> connect(const std::string &Peer, const std::string &Address);
  /// Closes the link to the peer, whichever end opened it, and stops
  /// reconnecting.
  void disconnect(const std::string &Peer);

  bool isLinked(const std::string &Peer) const;
  std::vector<std::string> linkedPeers() const;
  std::optional<PeerIdentity> identityOf(const std::string &Peer) const;
  /// Last measured round-trip time of the link; empty before the first
  /// measurement.
  std::optional<Clock::duration> roundTrip(const std::string &Peer) const;

  /// Sends a one-way message. Errc::Unavailable without a link,
  /// Errc::LimitReached when a queue is full, Errc::TooLarge when the message
  /// exceeds the maximum size, Errc::Malformed for an invalid method name.
  Outcome<void> send(const std::string &Peer, const Message &Content);
  /// Sends a one-way message to each peer, encoding it only once. Returns the
  /// number of links that accepted it.
  std::size_t publish(const std::vector<std::string> &Peers,
                      const Message &Content);

  /// Calls a peer. \p Done is called exactly once, never from within this
  /// function. Errc::Unavailable, Errc::LimitReached, Errc::TooLarge,
  /// Errc::Malformed and Errc::NotFound (unknown method) mean that the peer did
  /// not run the call. After Errc::Timeout, Errc::ConnectionLost,
  /// Errc::Cancelled and Errc::Unknown it may have run. Returns the identifier
  /// for cancelCall(), or zero when nothing was sent.
  std::uint64_t call(const std::string &Peer, const Message &Request,
                     Clock::time_point Deadline, AnswerHandler Done);
  /// Ends a call with Errc::Cancelled and notifies the peer.
  void cancelCall(std::uint64_t Call);

  void onEvent(EventHandler Handler);
  void onMessage(const std::string &Method, MessageHandler Handler);
  void onCall(const std::string &Method, CallHandler Handler);

  /// To be called by handlers that receive a malformed body. Closes and counts
  /// the link.
  void reportMalformed(const std::string &Peer);

  const PeerCounters &counters() const;

private:
  class State;
  std::shared_ptr<State> Core;
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_PEERNODE_H
