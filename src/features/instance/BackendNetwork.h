#ifndef REDWINGRACK_INSTANCE_BACKENDNETWORK_H
#define REDWINGRACK_INSTANCE_BACKENDNETWORK_H

#include "base/Outcome.h"
#include "forwarding/DispatchRequest.h"
#include "forwarding/DispatchResult.h"
#include "instance/ServerLoad.h"
#include "model/BackendServer.h"

#include <asio/awaitable.hpp>
#include <functional>

namespace rr {

/// Connections to backend servers as functions.
struct BackendNetwork {
  /// Sends a request to a server once.
  std::function<asio::awaitable<DispatchResult>(BackendServer Server,
                                                DispatchRequest Request)>
      Attempt;
  /// Whether a new connection to the server is accepted now.
  std::function<asio::awaitable<bool>(BackendServer Server)> Probe;
  /// The server's own report of its load, within 500 ms. Errc::NotFound when
  /// the server has no such endpoint. May be empty.
  std::function<asio::awaitable<Outcome<ServerLoad>>(BackendServer Server)>
      Load;
};

} // namespace rr

#endif // REDWINGRACK_INSTANCE_BACKENDNETWORK_H
