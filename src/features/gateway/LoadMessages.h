#ifndef REDWINGRACK_GATEWAY_LOADMESSAGES_H
#define REDWINGRACK_GATEWAY_LOADMESSAGES_H

#include "base/Outcome.h"
#include "steering/LoadNotice.h"

#include <string>

namespace rr {

/// Encodes and decodes the body of an `instance.load` message. Errc::Malformed
/// for invalid bodies.
std::string encodeLoadNotice(const LoadNotice &Notice);
Outcome<LoadNotice> decodeLoadNotice(const std::string &Body);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_LOADMESSAGES_H
