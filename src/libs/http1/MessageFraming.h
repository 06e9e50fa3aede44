#ifndef REDWINGRACK_HTTP1_MESSAGEFRAMING_H
#define REDWINGRACK_HTTP1_MESSAGEFRAMING_H

#include "base/HttpHeader.h"
#include "http1/MessageFault.h"

namespace rr {

/// Whether a response with \p Status has no body, whatever its fields say
/// (RFC 9112, section 6.3).
bool isBodyless(int Status);

/// Checks the fields that say where the body of a message ends (RFC 9112,
/// sections 6.1 to 6.3), for messages that have a body. Accepts no transfer
/// coding but a single "chunked", without a length beside it: others cannot be
/// decoded, and the fields that name them are not passed on. Returns
/// MessageFault::None, TransferCoding or BodyLength.
MessageFault framingFault(const HttpHeaders &Headers);

} // namespace rr

#endif // REDWINGRACK_HTTP1_MESSAGEFRAMING_H
