#include "http1/ConnectionRefusal.h"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <array>
#include <cstdio>
#include <string_view>

namespace rr {

namespace {

using asio::ip::tcp;

constexpr std::size_t ReadBufferBytes = 1024;
/// A longer head is answered before its end.
constexpr std::size_t MaxHeadBytes = 16U << 10;
/// The connection is read for this long after the answer, because closing a
/// socket with unread input resets the connection and the caller may lose the
/// answer.
constexpr Clock::duration LingerTimeout = std::chrono::milliseconds(500);

auto redirectError(asio::error_code &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

std::string refusalText(Clock::duration RetryAfter) {
  char Text[128];
  std::snprintf(Text, sizeof Text,
                "HTTP/1.1 503 Service Unavailable\r\n"
                "Retry-After: %.3f\r\nContent-Length: 0\r\n"
                "Connection: close\r\n\r\n",
                std::chrono::duration<double>(RetryAfter).count());
  return Text;
}

} // namespace

ConnectionRefusal::ConnectionRefusal(tcp::socket Opened, asio::io_context &Io)
    : Socket(std::move(Opened)), Timeout(Io) {}

void ConnectionRefusal::closeAfter(Clock::duration Time) {
  this->Timeout.expires_after(Time);
  this->Timeout.async_wait(
      [Self = this->shared_from_this()](const asio::error_code &Error) {
        if (!Error)
          Self->close();
      });
}

asio::awaitable<bool> ConnectionRefusal::readHead() {
  constexpr std::string_view End = "\r\n\r\n";
  std::array<char, ReadBufferBytes> Buffer;
  std::string Tail;
  for (std::size_t Total = 0; Total < MaxHeadBytes;) {
    asio::error_code Error;
    const std::size_t Length = co_await this->Socket.async_read_some(
        asio::buffer(Buffer), redirectError(Error));
    if (Error)
      co_return false;
    Total += Length;
    Tail.append(Buffer.data(), Length);
    if (Tail.find(End) != std::string::npos)
      co_return true;
    // The end of the head may be split between two reads.
    if (Tail.size() >= End.size())
      Tail.erase(0, Tail.size() - End.size() + 1);
  }
  co_return true;
}

asio::awaitable<void> ConnectionRefusal::discardInput() {
  std::array<char, ReadBufferBytes> Buffer;
  asio::error_code Error;
  while (!Error)
    co_await this->Socket.async_read_some(asio::buffer(Buffer),
                                          redirectError(Error));
}

asio::awaitable<bool> ConnectionRefusal::run(Clock::duration HeadTimeout,
                                             Clock::duration RetryAfter) {
  const auto Self = this->shared_from_this();
  this->closeAfter(HeadTimeout);
  const bool HasRequest = co_await this->readHead();
  if (HasRequest) {
    const std::string Text = refusalText(RetryAfter);
    asio::error_code Error;
    co_await asio::async_write(this->Socket, asio::buffer(Text),
                               redirectError(Error));
    this->Socket.shutdown(tcp::socket::shutdown_send, Error);
    this->closeAfter(LingerTimeout);
    co_await this->discardInput();
  }
  this->close();
  co_return HasRequest;
}

void ConnectionRefusal::close() {
  asio::error_code Ignored;
  this->Timeout.cancel();
  this->Socket.close(Ignored);
}

} // namespace rr
