#ifndef REDWINGRACK_FORWARDING_HEADERRULES_H
#define REDWINGRACK_FORWARDING_HEADERRULES_H

#include "base/HttpHeader.h"

#include <string>

namespace rr {

/// The fields of a caller's request that a backend server gets: only those on
/// a fixed list, so that no field that carries a credential can pass.
HttpHeaders headersForServer(const HttpHeaders &RequestHeaders);

/// The fields of a server's answer that the caller gets: all but hop-by-hop
/// ones and those that the listener sets itself.
HttpHeaders headersForCaller(const HttpHeaders &ResponseHeaders);

/// The key of an "Authorization: Bearer KEY" field; empty when there is none.
std::string bearerKey(const HttpHeaders &RequestHeaders);

} // namespace rr

#endif // REDWINGRACK_FORWARDING_HEADERRULES_H
