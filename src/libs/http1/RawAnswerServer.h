#ifndef REDWINGRACK_HTTP1_RAWANSWERSERVER_H
#define REDWINGRACK_HTTP1_RAWANSWERSERVER_H

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace rr {

/// Server for tests that answers each request, whose body is ignored, with any
/// bytes.
class RawAnswerServer {
public:
  /// Returns the bytes that answer the request with the header \p Head.
  using Answer = std::function<std::string(const std::string &Head)>;

  RawAnswerServer(asio::io_context &Context, Answer Bytes)
      : Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}),
        Bytes(std::move(Bytes)) {
    this->accept();
  }

  std::string address() const {
    return "127.0.0.1:" +
           std::to_string(this->Acceptor.local_endpoint().port());
  }

  /// Value of the field \p Name in \p Head; empty if there is none.
  static std::string fieldOf(const std::string &Head, const std::string &Name) {
    const std::size_t At = Head.find("\r\n" + Name + ": ");
    if (At == std::string::npos)
      return {};
    const std::size_t Start = At + Name.size() + 4;
    return Head.substr(Start, Head.find("\r\n", Start) - Start);
  }

  /// Bytes of an answer after which the rest is sent separately; 0 to send all
  /// at once.
  std::size_t SplitAt = 0;
  /// Close the connection after each answer.
  bool CloseAfterAnswer = false;
  int Requests = 0;
  int Accepted = 0;
  /// Connections that neither side has closed.
  int Open = 0;

private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket Opened)
        : Socket(std::move(Opened)) {}
    asio::ip::tcp::socket Socket;
    std::string Received;
    std::string Rest;
    char Buffer[4096];
  };
  using ConnectionPtr = std::shared_ptr<Connection>;
  /// Handlers that run before the rest of an answer is sent, so that the client
  /// has read the first part.
  static constexpr int PauseHandlers = 8;

  void accept() {
    this->Acceptor.async_accept(
        [this](const asio::error_code &Error, asio::ip::tcp::socket Opened) {
          if (Error)
            return;
          ++this->Accepted;
          ++this->Open;
          Opened.set_option(asio::ip::tcp::no_delay(true));
          this->read(std::make_shared<Connection>(std::move(Opened)));
          this->accept();
        });
  }

  void read(const ConnectionPtr &Peer) {
    Peer->Socket.async_read_some(
        asio::buffer(Peer->Buffer),
        [this, Peer](const asio::error_code &Error, std::size_t Length) {
          Peer->Received.append(Peer->Buffer, Length);
          const std::size_t End = Peer->Received.find("\r\n\r\n");
          if (Error) {
            --this->Open;
          } else if (End == std::string::npos) {
            this->read(Peer);
          } else {
            ++this->Requests;
            Peer->Rest = this->Bytes(Peer->Received.substr(0, End + 2));
            Peer->Received.clear();
            this->answer(Peer);
          }
        });
  }

  void answer(const ConnectionPtr &Peer) {
    const std::string First = Peer->Rest.substr(0, this->SplitAt);
    Peer->Rest.erase(0, First.size());
    asio::error_code Ignored;
    asio::write(Peer->Socket, asio::buffer(First), Ignored);
    this->sendRest(Peer, First.empty() ? 0 : PauseHandlers);
  }

  void sendRest(const ConnectionPtr &Peer, int Pause) {
    if (Pause > 0) {
      asio::post(this->Acceptor.get_executor(),
                 [this, Peer, Pause] { this->sendRest(Peer, Pause - 1); });
      return;
    }
    asio::error_code Ignored;
    asio::write(Peer->Socket, asio::buffer(Peer->Rest), Ignored);
    if (this->CloseAfterAnswer)
      Peer->Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
    this->read(Peer);
  }

  asio::ip::tcp::acceptor Acceptor;
  Answer Bytes;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_RAWANSWERSERVER_H
