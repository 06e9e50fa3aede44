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
/// A proof is the HMAC-SHA-256 of the role, the protocol version, both nonces
/// and the sender's identity. The acceptor sends its proof only after it has
/// verified that of the dialer, so that an unauthenticated dialer cannot use
/// the proof to guess the secret offline.
class Handshake {
public:
  Handshake(std::uint64_t Protocol, PeerIdentity Self, std::string Secret);

  /// First message, sent by the acceptor.
  std::string challenge() const;
  /// Reads the acceptor's challenge; empty when it is valid.
  std::optional<LinkEndReason> readChallenge(std::string_view Bytes);
  std::string hello() const;
  /// Checks the dialer's hello; empty when it is valid.
  std::optional<LinkEndReason> readHello(std::string_view Bytes);
  std::string welcome() const;
  /// Checks the acceptor's welcome; empty when it is valid.
  std::optional<LinkEndReason> readWelcome(std::string_view Bytes);

  /// Identity of the other end. Set once its proof has been verified.
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
