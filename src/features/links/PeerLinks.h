#ifndef REDWINGRACK_LINKS_PEERLINKS_H
#define REDWINGRACK_LINKS_PEERLINKS_H

#include "base/Outcome.h"
#include "peerlink/IncomingCall.h"
#include "peerlink/Message.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace rr {

class PeerNode;

/// Links between this instance and others, shared by all features that use
/// them. A link is kept up while at least one user has its peer in its desired
/// set.
class PeerLinks {
public:
  struct Options {
    std::string Name;
    std::string Zone;
    /// Listen address for other instances, IP:PORT; empty disables all links.
    std::string ListenAddress;
    /// Links that other instances may open.
    std::size_t MaxInboundLinks = 512;
    /// Unsent bytes of all links together.
    std::size_t MaxQueuedBytes = std::size_t{24} << 20;
  };
  /// Listen addresses of peers, IP:PORT, by instance name.
  using Peers = std::map<std::string, std::string>;
  using CallHandler = std::function<void(IncomingCall Call)>;
  using MessageHandler =
      std::function<void(const std::string &Peer, Message Received)>;

  PeerLinks(asio::io_context &Context, Options LinkOptions);
  ~PeerLinks();
  PeerLinks(const PeerLinks &) = delete;
  PeerLinks &operator=(const PeerLinks &) = delete;

  /// Set the handler of one method. Must be called before start().
  void onCall(const std::string &Method, CallHandler Handler);
  void onMessage(const std::string &Method, MessageHandler Handler);

  asio::io_context &context() { return this->Context; }

  /// Begins to listen, with the secret that all instances share. Does nothing
  /// if started already, or without a secret or listen address. If the address
  /// cannot be used, a later call tries again.
  void start(const std::string &Secret);
  bool isStarted() const { return this->Node != nullptr; }
  void stop();
  std::uint16_t port() const;

  /// Replaces the set of peers to which \p User needs links.
  void setDesiredPeers(const std::string &User, Peers Desired);
  bool isLinked(const std::string &Peer) const;
  /// Number of links that are up, whichever end opened them.
  std::size_t linkCount() const;

  /// Makes one call. Errors as of PeerNode::call(), and Errc::Unavailable
  /// before start().
  asio::awaitable<Outcome<Message>> call(std::string Peer, Message Request,
                                         Clock::time_point Deadline);
  /// Sends a message without an answer. Errors as of PeerNode::send(), and
  /// Errc::Unavailable before start().
  Outcome<void> send(const std::string &Peer, const Message &Content);
  /// Sends a message without an answer to all linked peers but \p Except.
  /// Returns the number of links that accepted it.
  std::size_t publish(const Message &Content, const std::string &Except);
  /// Called by handlers that received a malformed body from \p Peer.
  void reportMalformed(const std::string &Peer);

private:
  /// Connects to the desired peers and disconnects from all others.
  void updateConnections();

  asio::io_context &Context;
  Options LinkOptions;
  std::unique_ptr<PeerNode> Node;
  std::map<std::string, CallHandler> CallHandlers;
  std::map<std::string, MessageHandler> MessageHandlers;
  std::map<std::string, Peers> DesiredByUser;
  Peers Connected;
  /// The last attempt to listen failed, which has been logged.
  bool ListenFailed = false;
};

} // namespace rr

#endif // REDWINGRACK_LINKS_PEERLINKS_H
