#ifndef REDWINGRACK_HTTP1_SESSIONCONTEXT_H
#define REDWINGRACK_HTTP1_SESSIONCONTEXT_H

#include "base/Cancellation.h"
#include "http1/HttpMessage.h"
#include "http1/ServerLimits.h"

#include <asio/awaitable.hpp>

#include <cstddef>
#include <functional>

namespace rr {

/// What the connections of one server have in common.
struct SessionContext {
  std::function<asio::awaitable<HttpMessage>(HttpMessage, CancellationPtr)>
      RequestHandler;
  /// Whether a request may run while those before it on its connection run.
  std::function<bool(const HttpMessage &)> MayPipeline;
  ServerLimits Limits;
  /// Every further answer announces that its connection ends.
  bool CloseAfterResponses = false;
  /// Connections with a request that is being read or has no answer yet.
  std::size_t Active = 0;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_SESSIONCONTEXT_H
