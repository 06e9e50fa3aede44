#ifndef REDWINGRACK_HTTP1_LOOPBACKCLIENT_H
#define REDWINGRACK_HTTP1_LOOPBACKCLIENT_H

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace rr {

/// Runs the event loop until the condition holds or 10 s of real time have
/// passed. Returns whether the condition holds.
inline bool runUntil(asio::io_context &Context,
                     const std::function<bool()> &Condition) {
  const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  Context.restart();
  while (!Condition() && std::chrono::steady_clock::now() < End)
    Context.run_one_for(std::chrono::milliseconds(20));
  return Condition();
}

/// Test client that sends and receives raw bytes over the loopback interface.
class LoopbackClient {
public:
  LoopbackClient(asio::io_context &Context, std::uint16_t Port)
      : Context(Context), Socket(Context) {
    this->Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
    this->readMore();
  }

  void send(const std::string &Text) {
    asio::write(this->Socket, asio::buffer(Text));
  }

  /// Runs the event loop until \p Text was received or the connection was
  /// closed. Returns whether it was received.
  bool waitFor(const std::string &Text) {
    runUntil(this->Context, [&] {
      return this->Ended || this->Received.find(Text) != std::string::npos;
    });
    return this->Received.find(Text) != std::string::npos;
  }

  bool waitForEnd() {
    return runUntil(this->Context, [&] { return this->Ended; });
  }

  void close() {
    asio::error_code Ignored;
    this->Socket.close(Ignored);
  }

  std::string Received;
  bool Ended = false;

private:
  void readMore() {
    this->Socket.async_read_some(
        asio::buffer(this->Buffer),
        [this](const asio::error_code &Error, std::size_t Length) {
          this->Received.append(this->Buffer, Length);
          if (Error)
            this->Ended = true;
          else
            this->readMore();
        });
  }

  asio::io_context &Context;
  asio::ip::tcp::socket Socket;
  char Buffer[4096];
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_LOOPBACKCLIENT_H
