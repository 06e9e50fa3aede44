#ifndef REDWINGRACK_PEERLINK_ENVELOPE_H
#define REDWINGRACK_PEERLINK_ENVELOPE_H

#include "base/Outcome.h"
#include "peerlink/Message.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace rr {

/// One message on an authenticated link: the CBOR array
/// [kind, id, number, method, body].
struct Envelope {
  enum class Kind : std::uint8_t { OneWay, Call, Answer, Cancel };

  static constexpr std::size_t MaxMethodLength = 64;

  Kind Type = Kind::OneWay;
  /// Number of the call within the link; zero for one-way messages.
  std::uint64_t Id = 0;
  /// Call: time left in milliseconds. Answer: zero or the Errc value.
  std::uint64_t Number = 0;
  Message Content;
};

std::string encodeEnvelope(const Envelope &Value);

/// Errc::Malformed when the bytes are anything but an envelope.
Outcome<Envelope> decodeEnvelope(std::string_view Bytes);

/// Whether \p Name may be a method name.
bool isMethodName(std::string_view Name);

} // namespace rr

#endif // REDWINGRACK_PEERLINK_ENVELOPE_H
