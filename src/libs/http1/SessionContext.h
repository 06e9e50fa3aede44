#ifndef REDWINGRACK_HTTP1_SESSIONCONTEXT_H
#define REDWINGRACK_HTTP1_SESSIONCONTEXT_H

#include "base/Cancellation.h"
#include "http1/HttpMessage.h"
#include "http1/HttpServerLimits.h"

#include <asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <list>
#include <optional>

namespace rr {

class HttpSession;

/// State shared by the connections of one server.
struct SessionContext {
  std::function<asio::awaitable<HttpMessage>(HttpMessage, CancellationPtr)>
      RequestHandler;
  /// Whether a request may run while earlier requests of its connection are
  /// still running.
  std::function<bool(const HttpMessage &)> MayPipeline;
  /// Refusal of a request whose body is still to be read, given its header;
  /// none to read on.
  std::function<std::optional<HttpMessage>(const HttpMessage &)> RefuseUpload;
  HttpServerLimits Limits;
  /// Close each connection after the responses to its running requests.
  bool CloseAfterResponses = false;
  /// Number of connections with a request that is being read or has not been
  /// answered yet.
  std::size_t Active = 0;
  /// Connections without a request in progress, the longest idle first.
  std::list<HttpSession *> Idle;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_SESSIONCONTEXT_H
