#ifndef REDWINGRACK_PEERLINK_ENVELOPE_H
#define REDWINGRACK_PEERLINK_ENVELOPE_H

#include "base/Outcome.h"
#include "peerlink/Message.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace rr {

/// Message on an authenticated link, encoded as the CBOR array
/// [kind, id, number, method, body].
struct Envelope {
  enum class Kind : std::uint8_t { OneWay, Call, Answer, Cancel };

  static constexpr std::size_t MaxMethodLength = 64;

  Kind Type = Kind::OneWay;
  /// Identifies the call within the link; zero for one-way messages.
  std::uint64_t Id = 0;
  /// Call: time until the deadline in milliseconds. Answer: the Errc value, or
  /// zero on success.
  std::uint64_t Number = 0;
  Message Content;
};

std::string encodeEnvelope(const Envelope &Value);

/// Errc::Malformed when the bytes are not a valid envelope.
Outcome<Envelope> decodeEnvelope(std::string_view Bytes);

/// Whether \p Name is a valid method name: 1 to 64 printable ASCII characters
/// without spaces.
bool isMethodName(std::string_view Name);

} // namespace rr

#endif // REDWINGRACK_PEERLINK_ENVELOPE_H
