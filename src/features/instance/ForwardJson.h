#ifndef REDWINGRACK_INSTANCE_FORWARDJSON_H
#define REDWINGRACK_INSTANCE_FORWARDJSON_H

#include "base/Outcome.h"
#include "forwarding/DispatchRequest.h"
#include "forwarding/DispatchResult.h"

#include <nlohmann/json.hpp>

namespace rr {

/// `forward`: a request on its way to the owner of a backend server.
struct ForwardedRequest {
  DispatchRequest Request;
  /// Version that the entry instance chose; empty for spilled requests.
  std::string Version;
  /// Comes from another region.
  bool Spilled = false;
  bool MayRetry = false;
};

nlohmann::json encodeForward(const ForwardedRequest &Item);
/// The deadline is not part of the message; the link carries it.
Outcome<ForwardedRequest> decodeForward(const nlohmann::json &Body);

nlohmann::json encodeResult(const DispatchResult &Item);
Outcome<DispatchResult> decodeResult(const nlohmann::json &Body);

} // namespace rr

#endif // REDWINGRACK_INSTANCE_FORWARDJSON_H
