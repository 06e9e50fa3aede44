#ifndef REDWINGRACK_PEERLINK_MESSAGEBODY_H
#define REDWINGRACK_PEERLINK_MESSAGEBODY_H

#include "base/Outcome.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace rr {

/// CBOR bytes of \p Value.
std::string encodeBody(const nlohmann::json &Value);

/// Value of CBOR bytes that came from a peer. Errc::Malformed for bytes that
/// are not exactly one well-formed value, that nest deeper than 32 levels or
/// hold more than 262,144 items, and for text that is not UTF-8.
Outcome<nlohmann::json> decodeBody(std::string_view Bytes);

} // namespace rr

#endif // REDWINGRACK_PEERLINK_MESSAGEBODY_H
