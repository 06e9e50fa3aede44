#ifndef REDWINGRACK_PEERLINK_WEBSOCKETCODEC_H
#define REDWINGRACK_PEERLINK_WEBSOCKETCODEC_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace rr {

/// WebSocket protocol of one connection, without I/O and timers: the owner
/// passes received bytes to feed() and writes the output passed to OnOutput.
/// This header must compile as C++17 and as C++20.
class WebSocketCodec {
public:
  enum class Role { Dialer, Acceptor };

  enum class Status {
    /// The upgrade is in progress or the connection is open.
    Running,
    /// The other end sent a close frame; see peerCloseCode().
    PeerClosed,
    /// The other end violated the protocol.
    Malformed,
    /// The other end sent a message above the maximum size.
    TooLarge,
  };

  struct Handlers {
    std::function<void(const char *Data, std::size_t Size)> OnOutput;
    std::function<void()> OnOpen;
    std::function<void(std::string Payload)> OnMessage;
    std::function<void(const std::string &Payload)> OnPong;
  };

  WebSocketCodec(Role Side, std::size_t MaxMessageBytes, Handlers Calls);
  ~WebSocketCodec();
  WebSocketCodec(const WebSocketCodec &) = delete;
  WebSocketCodec &operator=(const WebSocketCodec &) = delete;

  /// Starts the upgrade. A dialer emits its request immediately.
  void start();
  /// Processes received bytes. Handlers run within this call and may call any
  /// member function except the destructor.
  Status feed(const char *Data, std::size_t Size);
  /// Returns false when the connection is not open.
  bool sendBinary(std::string_view Payload);
  void ping(const std::string &Payload);
  void close(std::uint16_t Code);
  void setMaxMessageBytes(std::size_t Bytes);
  std::uint16_t peerCloseCode() const;

private:
  struct Engine;
  std::unique_ptr<Engine> Core;
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_WEBSOCKETCODEC_H
