#ifndef REDWINGRACK_FORWARDING_HEADERRULES_H
#define REDWINGRACK_FORWARDING_HEADERRULES_H

#include "base/HttpHeader.h"

#include <string>

namespace rr {

/// Request header fields to forward to a backend server. Uses an allowlist so
/// that no field with a credential is forwarded.
HttpHeaders headersForServer(const HttpHeaders &RequestHeaders);

/// Response header fields to return to the caller: all except hop-by-hop
/// fields and those that the HTTP listener sets.
HttpHeaders headersForCaller(const HttpHeaders &ResponseHeaders);

/// Returns the key of an "Authorization: Bearer KEY" field, or an empty string.
std::string bearerKey(const HttpHeaders &RequestHeaders);

} // namespace rr

#endif // REDWINGRACK_FORWARDING_HEADERRULES_H
