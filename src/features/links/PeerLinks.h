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

/// The links between this instance and others, for all features that use
/// them: a link stays up for as long as one of them wants it.
class PeerLinks {
public:
  struct Options {
    std::string Name;
    std::string Zone;
    /// Where the other instances connect, IP:PORT; without one there are no
    /// links.
    std::string ListenAddress;
  };
  /// Addresses of peer ports, IP:PORT, by the instance's name.
  using Peers = std::map<std::string, std::string>;
  using CallHandler = std::function<void(IncomingCall Call)>;
  using MessageHandler =
      std::function<void(const std::string &Peer, Message Received)>;

  PeerLinks(asio::io_context &Context, Options LinkOptions);
  ~PeerLinks();
  PeerLinks(const PeerLinks &) = delete;
  PeerLinks &operator=(const PeerLinks &) = delete;

  /// Handlers of one method each; before start().
  void onCall(const std::string &Method, CallHandler Handler);
  void onMessage(const std::string &Method, MessageHandler Handler);

  asio::io_context &context() { return this->Context; }

  /// Begins to listen with the secret that all instances share.
  void start(const std::string &Secret);
  bool isStarted() const { return this->Node != nullptr; }
  void stop();
  std::uint16_t port() const;

  /// Keeps links to \p Wanted up for \p User, in place of those that it wanted
  /// before.
  void setDesiredPeers(const std::string &User, Peers Desired);
  bool isLinked(const std::string &Peer) const;

  /// Makes one call. Errors as of PeerNode::call(), and Errc::Unavailable
  /// before start().
  asio::awaitable<Outcome<Message>> call(std::string Peer, Message Request,
                                         Clock::time_point Deadline);
  /// Sends without an answer; errors as of PeerNode::send(), and
  /// Errc::Unavailable before start().
  Outcome<void> send(const std::string &Peer, const Message &Content);
  /// For handlers that find a body malformed.
  void reportMalformed(const std::string &Peer);

private:
  /// Connects to what is wanted and leaves the rest.
  void updateConnections();

  asio::io_context &Context;
  Options LinkOptions;
  std::unique_ptr<PeerNode> Node;
  std::map<std::string, CallHandler> CallHandlers;
  std::map<std::string, MessageHandler> MessageHandlers;
  std::map<std::string, Peers> DesiredByUser;
  Peers Connected;
};

} // namespace rr

#endif // REDWINGRACK_LINKS_PEERLINKS_H
