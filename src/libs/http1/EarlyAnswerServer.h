#ifndef REDWINGRACK_HTTP1_EARLYANSWERSERVER_H
#define REDWINGRACK_HTTP1_EARLYANSWERSERVER_H

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace rr {

/// More than the loopback interface buffers, so that writing it blocks until
/// the server reads.
inline constexpr std::size_t LongBodyBytes = std::size_t{16} << 20;

/// Server that reads the head of one request, sends predefined bytes and leaves
/// the body of the request unread.
class EarlyAnswerServer {
public:
  EarlyAnswerServer(asio::io_context &Context, std::string Bytes)
      : Acceptor(Context), Peer(Context), Bytes(std::move(Bytes)) {
    const asio::ip::tcp::endpoint Any(asio::ip::make_address("127.0.0.1"), 0);
    this->Acceptor.open(Any.protocol());
    this->Acceptor.set_option(asio::socket_base::receive_buffer_size(32768));
    this->Acceptor.bind(Any);
    this->Acceptor.listen();
    this->Acceptor.async_accept(
        this->Peer, [this](const asio::error_code &Error) {
          if (Error)
            return;
          this->Peer.async_read_some(
              asio::buffer(this->Buffer),
              [this](const asio::error_code &Failed, std::size_t Length) {
                const std::size_t HeadEnd =
                    std::string_view(this->Buffer, Length).find("\r\n\r\n");
                if (Failed || HeadEnd == std::string_view::npos)
                  return;
                this->BodyBytes = Length - HeadEnd - 4;
                asio::write(this->Peer, asio::buffer(this->Bytes));
                this->Answered = true;
              });
        });
  }

  /// Closes the connection as a crash of the server does: the kernel resets it
  /// because bytes of the request are unread.
  void crash() { this->Peer.close(); }

  /// Reads the rest of the request, then closes the connection regularly.
  void readAndClose() {
    this->Peer.async_read_some(
        asio::buffer(this->Buffer),
        [this](const asio::error_code &Error, std::size_t Length) {
          this->BodyBytes += Length;
          if (Error || this->BodyBytes >= LongBodyBytes)
            this->Peer.close();
          else
            this->readAndClose();
        });
  }

  std::string address() const {
    return "127.0.0.1:" +
           std::to_string(this->Acceptor.local_endpoint().port());
  }

  bool Answered = false;

private:
  asio::ip::tcp::acceptor Acceptor;
  asio::ip::tcp::socket Peer;
  std::string Bytes;
  std::size_t BodyBytes = 0;
  char Buffer[65536];
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_EARLYANSWERSERVER_H
