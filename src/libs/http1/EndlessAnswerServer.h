#ifndef REDWINGRACK_HTTP1_ENDLESSANSWERSERVER_H
#define REDWINGRACK_HTTP1_ENDLESSANSWERSERVER_H

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace rr {

/// Bytes without end that a faulty server sends in place of an answer.
struct EndlessAnswer {
  const char *Name;
  /// Sent once.
  std::string Head;
  /// Sent repeatedly after it.
  std::string Piece;
  /// Number of repetitions after which nothing more comes; 0 for no end.
  std::size_t MaxPieces = 0;
};

inline std::string repeated(const std::string &Text, std::size_t MinBytes) {
  std::string Result;
  while (Result.size() < MinBytes)
    Result += Text;
  return Result;
}

/// Endless answers of each form, with "Id: \p Id" and "Stamp: s" among the
/// fields of those that have a complete header.
inline std::vector<EndlessAnswer> endlessAnswers(const std::string &Id) {
  const std::string Filler(1000, 'x');
  const std::string Ok = "HTTP/1.1 200 OK\r\nId: " + Id + "\r\nStamp: s\r\n";
  const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"status line", "HTTP/1.1 200 ", Filler},
      {"status code", "HTTP/1.1 2", std::string(1000, '0')},
      {"field name", Ok, Filler},
      {"field value", Ok + "A: ", Filler},
      {"blank field value", Ok + "A: ", std::string(1000, ' ')},
      {"fields", Ok, "A: " + Filler + "\r\n"},
      {"short fields", Ok, "A:\r\n"},
      {"empty lines", "", "\r\n"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"responses to other requests", "",
       "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
      {"body without a length", Ok + "\r\n", Filler},
      {"body with a length", Ok + "Content-Length: 99999999999\r\n\r\n",
       Filler},
      {"chunks", Chunked, "3e8\r\n" + Filler + "\r\n"},
      {"small chunks", Chunked, "1\r\nx\r\n"},
      {"one chunk", Chunked + "fffffffffff\r\n", Filler},
      {"chunk size", Chunked, std::string(1000, '0')},
      {"chunk extension", Chunked + "3e8;a=", Filler},
      {"chunk extensions", Chunked, "1;a=" + Filler + "\r\nx\r\n"},
      {"trailer field", Chunked + "0\r\nA: ", Filler},
      {"trailer fields", Chunked + "0\r\n", "A: " + Filler + "\r\n"},
      {"no answer at all", "", Filler},
  };
}

/// Server for tests that sends an endless answer on each connection until the
/// client closes it.
struct EndlessAnswerServer {
  /// Written at once.
  static constexpr std::size_t MinPieceBytes = 4000;

  EndlessAnswerServer(asio::io_context &Context, EndlessAnswer Answer)
      : Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}),
        Sent(std::move(Answer)) {
    this->Sent.Piece = repeated(this->Sent.Piece, MinPieceBytes);
    this->accept();
  }

  using Stream = std::shared_ptr<asio::ip::tcp::socket>;

  void accept() {
    this->Acceptor.async_accept([this](const asio::error_code &Error,
                                       asio::ip::tcp::socket Opened) {
      if (Error)
        return;
      ++this->Open;
      ++this->Accepted;
      this->write(std::make_shared<asio::ip::tcp::socket>(std::move(Opened)),
                  this->Sent.Head, 0);
      this->accept();
    });
  }

  void write(const Stream &Socket, const std::string &Text,
             std::size_t Pieces) {
    asio::async_write(
        *Socket, asio::buffer(Text),
        [this, Socket, Pieces](const asio::error_code &Error, std::size_t) {
          if (Error)
            --this->Open;
          else if (this->Sent.MaxPieces == 0 || Pieces < this->Sent.MaxPieces)
            this->write(Socket, this->Sent.Piece, Pieces + 1);
          else
            this->awaitEnd(Socket);
        });
  }

  void awaitEnd(const Stream &Socket) {
    Socket->async_wait(
        asio::ip::tcp::socket::wait_error,
        [this, Socket](const asio::error_code &) { --this->Open; });
  }

  std::string address() const {
    return "127.0.0.1:" +
           std::to_string(this->Acceptor.local_endpoint().port());
  }

  asio::ip::tcp::acceptor Acceptor;
  EndlessAnswer Sent;
  /// Connections that the client has not closed.
  int Open = 0;
  int Accepted = 0;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_ENDLESSANSWERSERVER_H
