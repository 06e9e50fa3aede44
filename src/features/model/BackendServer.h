#ifndef REDWINGRACK_MODEL_BACKENDSERVER_H
#define REDWINGRACK_MODEL_BACKENDSERVER_H

#include <cstdint>
#include <string>

namespace rr {

/// A server that handles the requests of one service in one version.
struct BackendServer {
  std::string Name;
  std::string Service;
  std::string Version;
  std::string Zone;
  /// IP address and port, for example 127.0.0.1:9001.
  std::string Address;
  /// Requests that it handles concurrently.
  std::uint32_t Slots = 1;
  std::uint32_t Connections = 400;
  /// While true, the server gets no new requests.
  bool Draining = false;
};

} // namespace rr

#endif // REDWINGRACK_MODEL_BACKENDSERVER_H
