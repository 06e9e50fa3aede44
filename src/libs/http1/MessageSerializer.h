#ifndef REDWINGRACK_HTTP1_MESSAGESERIALIZER_H
#define REDWINGRACK_HTTP1_MESSAGESERIALIZER_H

#include "http1/HttpMessage.h"

#include <string>

namespace rr {

/// Removes the hop-by-hop fields, including those named by the Connection
/// field, and the framing fields.
void removeHopByHopHeaders(HttpHeaders &Headers);

/// Serializes the request line and header fields, with a Content-Length field
/// where needed. The caller sends the body after it.
std::string serializeRequestHeader(const HttpMessage &Request);

/// Serializes a complete response. \p Close adds "Connection: close";
/// \p WithBody is false for a response to HEAD.
std::string serializeResponse(const HttpMessage &Response, bool Close,
                              bool WithBody);

} // namespace rr

#endif // REDWINGRACK_HTTP1_MESSAGESERIALIZER_H
