#ifndef REDWINGRACK_HTTP1_MESSAGESERIALIZER_H
#define REDWINGRACK_HTTP1_MESSAGESERIALIZER_H

#include "http1/HttpMessage.h"

#include <string>

namespace rr {

/// Drops the fields that concern one connection only, those that the
/// Connection field names included, and the framing fields.
void removeHopByHopHeaders(HttpHeaders &Headers);

/// The header of a request as bytes, with a length field; the body follows.
std::string serializeRequestHeader(const HttpMessage &Request);

/// The whole answer as bytes. \p Close announces that the connection ends;
/// \p WithBody is false for an answer to HEAD.
std::string serializeResponse(const HttpMessage &Response, bool Close,
                              bool WithBody);

} // namespace rr

#endif // REDWINGRACK_HTTP1_MESSAGESERIALIZER_H
