#ifndef REDWINGRACK_GATEWAY_MEMBERCODEC_H
#define REDWINGRACK_GATEWAY_MEMBERCODEC_H

#include "base/Outcome.h"
#include "steering/MemberRecord.h"

#include <string>

namespace rr {

std::string encodeMember(const MemberRecord &Record);
/// Errc::Malformed for anything that encodeMember() does not write.
Outcome<MemberRecord> decodeMember(const std::string &Text);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_MEMBERCODEC_H
