#ifndef REDWINGRACK_GATEWAY_MEMBERCODEC_H
#define REDWINGRACK_GATEWAY_MEMBERCODEC_H

#include "base/Outcome.h"
#include "steering/MemberRecord.h"

#include <string>

namespace rr {

/// Encodes the row of an instance in the member table as JSON.
std::string encodeMember(const MemberRecord &Record);
/// Errc::Malformed unless \p Text was written by encodeMember() of this or an
/// earlier version.
Outcome<MemberRecord> decodeMember(const std::string &Text);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_MEMBERCODEC_H
