#ifndef REDWINGRACK_MODEL_BACKENDSERVER_H
#define REDWINGRACK_MODEL_BACKENDSERVER_H

#include <cstdint>
#include <string>

namespace rr {

/// A server that runs the requests of one service at one version.
struct BackendServer {
  std::string Name;
  std::string Service;
  std::string Version;
  std::string Zone;
  /// IP number and port, for example 127.0.0.1:9001.
  std::string Address;
  /// Requests that it runs at the same time.
  std::uint32_t Slots = 1;
  std::uint32_t Connections = 400;
  /// A draining server gets no new requests.
  bool Draining = false;
};

} // namespace rr

#endif // REDWINGRACK_MODEL_BACKENDSERVER_H
