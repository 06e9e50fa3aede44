#ifndef REDWINGRACK_PEERLINK_MESSAGEBODY_H
#define REDWINGRACK_PEERLINK_MESSAGEBODY_H

#include "base/Outcome.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace rr {

/// Encodes \p Value as CBOR.
std::string encodeBody(const nlohmann::json &Value);

/// Decodes CBOR received from a peer. Errc::Malformed for bytes that are not
/// exactly one well-formed value, are nested deeper than 32 levels, hold more
/// than 262,144 items or contain text that is not valid UTF-8.
Outcome<nlohmann::json> decodeBody(std::string_view Bytes);

} // namespace rr

#endif // REDWINGRACK_PEERLINK_MESSAGEBODY_H
