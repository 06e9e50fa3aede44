#include "peerlink/MessageBody.h"

#include "peerlink/CborScan.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <vector>

namespace rr {

std::string encodeBody(const nlohmann::json &Value) {
  std::string Result;
  nlohmann::json::to_cbor(Value, Result);
  return Result;
}

Outcome<nlohmann::json> decodeBody(std::string_view Bytes) {
  if (!isBoundedCbor(Bytes))
    return failure(Errc::Malformed);
  auto Value =
      nlohmann::json::from_cbor(Bytes.begin(), Bytes.end(), true, false);
  if (Value.is_discarded())
    return failure(Errc::Malformed);
  return Value;
}

} // namespace rr
