#ifndef REDWINGRACK_HTTPSERVER_LISTENERSETTINGS_H
#define REDWINGRACK_HTTPSERVER_LISTENERSETTINGS_H

#include <chrono>
#include <cstdint>
#include <string>

namespace rr {

/// Address and limits of a listener.
struct ListenerSettings {
  /// IP address.
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;
  std::uint64_t MaxBodyBytes = 1U << 20;
  std::uint64_t MaxUrlBytes = 8U << 10;
  std::uint64_t MaxHeaderCount = 64;
  std::size_t MaxConnections = 4096;
  std::chrono::seconds ReadTimeout{30};
  std::chrono::seconds HandleTimeout{65};
  std::chrono::seconds WriteTimeout{10};
};

} // namespace rr

#endif // REDWINGRACK_HTTPSERVER_LISTENERSETTINGS_H
