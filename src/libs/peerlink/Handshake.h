#ifndef REDWINGRACK_PEERLINK_HANDSHAKE_H
#define REDWINGRACK_PEERLINK_HANDSHAKE_H

#include "peerlink/LinkEndReason.h"
#include "peerlink/PeerIdentity.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rr {

/// Mutual authentication of one connection by the shared secret:
///
///   acceptor -> dialer   challenge: protocol, nonce
///   dialer -> acceptor   hello: protocol, identity, nonce, proof
///   acceptor -> dialer   welcome: identity, proof
///
/// A proof is the HMAC-SHA-256 over the role, the protocol, both nonces and
/// the sender's identity. The acceptor proves itself only to a dialer that
/// has done so, so a stranger gets nothing to guess the secret from.
class Handshake {
public:
  Handshake(std::uint64_t Protocol, PeerIdentity Self, std::string Secret);

  /// Acceptor's first message.
  std::string challenge() const;
  /// Dialer's answer to a challenge, or why there is none.
  std::optional<LinkEndReason> readChallenge(std::string_view Bytes);
  std::string hello() const;
  /// Checks the dialer's hello; empty when it is valid.
  std::optional<LinkEndReason> readHello(std::string_view Bytes);
  std::string welcome() const;
  /// Checks the acceptor's welcome; empty when it is valid.
  std::optional<LinkEndReason> readWelcome(std::string_view Bytes);

  /// The other end, once its proof was valid.
  const PeerIdentity &peer() const { return this->Peer; }

private:
  std::string proof(const char *Role, const std::string &DialerNonce,
                    const std::string &AcceptorNonce,
                    const PeerIdentity &Sender) const;

  std::uint64_t Protocol;
  PeerIdentity Self;
  std::string Secret;
  std::string OwnNonce;
  std::string PeerNonce;
  PeerIdentity Peer;
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_HANDSHAKE_H
