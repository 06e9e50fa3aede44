#ifndef REDWINGRACK_MEMBERSHIP_MEMBERSHIPJSON_H
#define REDWINGRACK_MEMBERSHIP_MEMBERSHIPJSON_H

#include "base/Outcome.h"
#include "membership/Heartbeat.h"
#include "membership/Summary.h"

#include <nlohmann/json.hpp>

namespace rr {

class MessageReader;

nlohmann::json encode(const Member &Item);
nlohmann::json encode(const ControlVersions &Item);
nlohmann::json encode(const ControlStamp &Item);
nlohmann::json encode(const Heartbeat &Message);
nlohmann::json encode(const Summary &Message);

/// These note a mistake in the reader.
Member readMember(MessageReader &Reader);
ControlVersions readControlVersions(MessageReader &Reader);
ControlStamp readControlStamp(MessageReader &Reader);

/// Errc::Malformed when a member is missing or out of bounds.
Outcome<Member> decodeMember(const nlohmann::json &Document);
Outcome<Heartbeat> decodeHeartbeat(const nlohmann::json &Document);
Outcome<Summary> decodeSummary(const nlohmann::json &Document);

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_MEMBERSHIPJSON_H
