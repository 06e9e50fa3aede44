#include "peerlink/Handshake.h"

#include "base/Digest.h"
#include "base/Random.h"
#include "peerlink/MessageBody.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace rr {

namespace {

using nlohmann::json;

constexpr std::size_t MaxTextLength = 256;

// Value of a text member; empty when it is absent, too long or not a text.
std::string textOf(const json &Object, const char *Key) {
  const auto Found = Object.find(Key);
  if (Found == Object.end() || !Found->is_string())
    return {};
  auto Text = Found->get<std::string>();
  if (Text.size() > MaxTextLength)
    return {};
  return Text;
}

std::optional<json> readObject(std::string_view Bytes, const char *Type) {
  auto Value = decodeBody(Bytes);
  if (!Value || !Value->is_object() || textOf(*Value, "type") != Type)
    return std::nullopt;
  return std::move(*Value);
}

std::optional<LinkEndReason> checkProtocol(const json &Object,
                                           std::uint64_t Expected) {
  const auto Found = Object.find("protocol");
  if (Found == Object.end() || !Found->is_number_unsigned())
    return LinkEndReason::Malformed;
  if (Found->get<std::uint64_t>() != Expected)
    return LinkEndReason::ProtocolMismatch;
  return std::nullopt;
}

PeerIdentity identityOf(const json &Object) {
  return {textOf(Object, "instance"), textOf(Object, "zone"),
          textOf(Object, "incarnation")};
}

bool isComplete(const PeerIdentity &Identity) {
  return !Identity.Name.empty() && !Identity.Zone.empty() &&
         !Identity.Incarnation.empty();
}

void addIdentity(json &Object, const PeerIdentity &Identity) {
  Object["instance"] = Identity.Name;
  Object["zone"] = Identity.Zone;
  Object["incarnation"] = Identity.Incarnation;
}

} // namespace

Handshake::Handshake(std::uint64_t Protocol, PeerIdentity Self,
                     std::string Secret)
    : Protocol(Protocol), Self(std::move(Self)), Secret(std::move(Secret)),
      OwnNonce(randomToken()) {}

std::string Handshake::proof(const char *Role, const std::string &DialerNonce,
                             const std::string &AcceptorNonce,
                             const PeerIdentity &Sender) const {
  // CBOR texts have a length prefix, so different field lists never have the
  // same encoding.
  json Fields = json::array();
  Fields.push_back(Role);
  Fields.push_back(this->Protocol);
  Fields.push_back(DialerNonce);
  Fields.push_back(AcceptorNonce);
  Fields.push_back(Sender.Name);
  Fields.push_back(Sender.Zone);
  Fields.push_back(Sender.Incarnation);
  return hmacSha256Hex(this->Secret, encodeBody(Fields));
}

std::string Handshake::challenge() const {
  json Object;
  Object["type"] = "challenge";
  Object["protocol"] = this->Protocol;
  Object["nonce"] = this->OwnNonce;
  return encodeBody(Object);
}

std::optional<LinkEndReason> Handshake::readChallenge(std::string_view Bytes) {
  const auto Object = readObject(Bytes, "challenge");
  if (!Object)
    return LinkEndReason::Malformed;
  if (const auto Mismatch = checkProtocol(*Object, this->Protocol))
    return Mismatch;
  this->PeerNonce = textOf(*Object, "nonce");
  if (this->PeerNonce.empty())
    return LinkEndReason::Malformed;
  return std::nullopt;
}

std::string Handshake::hello() const {
  json Object;
  Object["type"] = "hello";
  Object["protocol"] = this->Protocol;
  Object["nonce"] = this->OwnNonce;
  addIdentity(Object, this->Self);
  Object["proof"] =
      this->proof("dialer", this->OwnNonce, this->PeerNonce, this->Self);
  return encodeBody(Object);
}

std::optional<LinkEndReason> Handshake::readHello(std::string_view Bytes) {
  const auto Object = readObject(Bytes, "hello");
  if (!Object)
    return LinkEndReason::Malformed;
  if (const auto Mismatch = checkProtocol(*Object, this->Protocol))
    return Mismatch;
  this->PeerNonce = textOf(*Object, "nonce");
  const PeerIdentity Sender = identityOf(*Object);
  if (this->PeerNonce.empty() || !isComplete(Sender))
    return LinkEndReason::Malformed;
  if (!equalConstantTime(
          textOf(*Object, "proof"),
          this->proof("dialer", this->PeerNonce, this->OwnNonce, Sender)))
    return LinkEndReason::WrongSecret;
  this->Peer = Sender;
  return std::nullopt;
}

std::string Handshake::welcome() const {
  json Object;
  Object["type"] = "welcome";
  addIdentity(Object, this->Self);
  Object["proof"] =
      this->proof("acceptor", this->PeerNonce, this->OwnNonce, this->Self);
  return encodeBody(Object);
}

std::optional<LinkEndReason> Handshake::readWelcome(std::string_view Bytes) {
  const auto Object = readObject(Bytes, "welcome");
  if (!Object)
    return LinkEndReason::Malformed;
  const PeerIdentity Sender = identityOf(*Object);
  if (!isComplete(Sender))
    return LinkEndReason::Malformed;
  if (!equalConstantTime(
          textOf(*Object, "proof"),
          this->proof("acceptor", this->OwnNonce, this->PeerNonce, Sender)))
    return LinkEndReason::WrongSecret;
  this->Peer = Sender;
  return std::nullopt;
}

} // namespace rr
