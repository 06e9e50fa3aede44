#ifndef REDWINGRACK_PEERLINK_WEBSOCKETCODEC_H
#define REDWINGRACK_PEERLINK_WEBSOCKETCODEC_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace rr {

/// WebSocket protocol of one connection, without input, output or timers: the
/// owner feeds received bytes and writes what comes out. This header is read
/// as C++17 and as C++20.
class WebSocketCodec {
public:
  enum class Role { Dialer, Acceptor };

  enum class Status {
    /// The upgrade or the exchange of messages is going on.
    Running,
    /// The other end sent a close frame; see peerCloseCode().
    PeerClosed,
    /// The other end broke the protocol.
    Malformed,
    /// The other end sent a message above the limit.
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

  /// Begins the upgrade; a dialer's request comes out at once.
  void start();
  /// Handles received bytes. Handlers run within this call; they may call
  /// everything but the destructor.
  Status feed(const char *Data, std::size_t Size);
  /// Whether the frame was taken.
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
