#ifndef REDWINGRACK_INSTANCE_SPILLJSON_H
#define REDWINGRACK_INSTANCE_SPILLJSON_H

#include "base/Outcome.h"
#include "routing/ServiceHeadroom.h"
#include "routing/SpillAsk.h"
#include "routing/SpillGrant.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace rr {

/// Payloads of `spillAsk` and `spillGrant`; Errc::Malformed for others.
nlohmann::json encodeAsks(const std::vector<SpillAsk> &Asks);
Outcome<std::vector<SpillAsk>> decodeAsks(const nlohmann::json &Body);
nlohmann::json encodeGrant(const SpillGrant &Grant);
Outcome<SpillGrant> decodeGrant(const nlohmann::json &Body);
nlohmann::json encodeGrants(const std::vector<SpillGrant> &Grants);
Outcome<std::vector<SpillGrant>> decodeGrants(const nlohmann::json &Body);

/// Requests per second that fit into the free slots; with an assumed answer
/// time while none is known.
double freePerSecond(const ServiceHeadroom &Item);

} // namespace rr

#endif // REDWINGRACK_INSTANCE_SPILLJSON_H
