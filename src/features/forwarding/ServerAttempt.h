#ifndef REDWINGRACK_FORWARDING_SERVERATTEMPT_H
#define REDWINGRACK_FORWARDING_SERVERATTEMPT_H

#include "forwarding/DispatchRequest.h"
#include "forwarding/DispatchResult.h"

#include <asio/awaitable.hpp>

namespace rr {

class HttpClient;
class SpanExporter;
struct BackendServer;

/// Sends a request to one backend server, without retries, and reports whether
/// the server may have executed it. \p Spans may be null.
asio::awaitable<DispatchResult>
sendToServer(HttpClient &Client, SpanExporter *Spans, BackendServer Server,
             DispatchRequest Request, std::size_t MaxResponseBytes);

} // namespace rr

#endif // REDWINGRACK_FORWARDING_SERVERATTEMPT_H
