#include "http1/HttpServer.h"

#include "base/Timer.h"
#include "http1/MessageParser.h"
#include "http1/MessageText.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <array>
#include <charconv>
#include <optional>
#include <set>

namespace rr {

namespace {

using asio::ip::tcp;

constexpr std::size_t ReadBytes = 2048;
/// A client that pipelines more than this waits in its socket.
constexpr std::size_t MostPipelinedBytes = 64U << 10;
constexpr Clock::duration AcceptPause = std::chrono::milliseconds(20);

auto into(asio::error_code &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

int statusOf(ParseError Error) {
  switch (Error) {
  case ParseError::HeaderTooLarge:
    return 431;
  case ParseError::BodyTooLarge:
    return 413;
  default:
    return 400;
  }
}

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  struct Session {
    Session(tcp::socket Opened, asio::io_context &Context)
        : Socket(std::move(Opened)), Limit(Context), Watched(Context) {}
    tcp::socket Socket;
    /// Closes the socket when the client takes too long.
    Timer Limit;
    /// Fires when the watcher of a running request has ended.
    Timer Watched;
    std::string Unread;
    bool Active = false;
    bool TimedOut = false;
    bool Watching = false;
  };
  using SessionPtr = std::shared_ptr<Session>;

  State(asio::io_context &Io, Handler Function)
      : Context(Io), Answer(std::move(Function)), Acceptor(Io) {}

  asio::io_context &Context;
  Handler Answer;
  tcp::acceptor Acceptor;
  ServerLimits Limits;
  std::set<SessionPtr> Sessions;
  std::size_t Active = 0;
  bool CloseAfterAnswers = false;

  void arm(const SessionPtr &S, Clock::duration Time) {
    S->TimedOut = false;
    S->Limit.expires_after(Time);
    S->Limit.async_wait([S](const asio::error_code &Error) {
      if (Error)
        return;
      S->TimedOut = true;
      asio::error_code Ignored;
      S->Socket.cancel(Ignored);
    });
  }

  void setActive(const SessionPtr &S, bool On) {
    if (S->Active == On)
      return;
    S->Active = On;
    this->Active += On ? 1 : -1;
  }

  static void shut(const SessionPtr &S) {
    asio::error_code Ignored;
    S->Socket.shutdown(tcp::socket::shutdown_both, Ignored);
    S->Socket.close(Ignored);
  }

  asio::awaitable<bool> write(SessionPtr S, const std::string &Text) {
    asio::error_code Error;
    this->arm(S, this->Limits.WriteTime);
    co_await asio::async_write(S->Socket, asio::buffer(Text), into(Error));
    S->Limit.cancel();
    co_return !Error;
  }

  /// Reads one request. An empty result ends the connection.
  asio::awaitable<std::optional<HttpMessage>> read(SessionPtr S) {
    MessageParser Parser(MessageParser::Kind::Request, this->Limits.Message);
    std::array<char, ReadBytes> Buffer;
    bool Continued = false;
    this->arm(S, this->Limits.IdleTime);
    for (;;) {
      if (!S->Unread.empty()) {
        if (!Parser.hasStarted()) {
          this->arm(S, this->Limits.RequestTime);
          this->setActive(S, true);
        }
        S->Unread.erase(0, Parser.feed(S->Unread));
      }
      if (Parser.error() != ParseError::None) {
        co_await this->refuse(S, statusOf(Parser.error()));
        co_return std::nullopt;
      }
      if (Parser.isComplete())
        break;
      if (Parser.isHeaderComplete() && !Continued) {
        Continued = true;
        co_await this->continueBody(S, Parser);
      }
      asio::error_code Error;
      const std::size_t Length =
          co_await S->Socket.async_read_some(asio::buffer(Buffer), into(Error));
      if (Error) {
        if (S->TimedOut && Parser.hasStarted())
          co_await this->refuse(S, 408);
        co_return std::nullopt;
      }
      S->Unread.append(Buffer.data(), Length);
    }
    S->Limit.cancel();
    co_return Parser.take();
  }

  /// Tells a client that waits for permission to send its body.
  asio::awaitable<void> continueBody(SessionPtr S, MessageParser &Parser) {
    if (!Parser.wantsContinue())
      co_return;
    asio::error_code Ignored;
    static const std::string Text = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(S->Socket, asio::buffer(Text), into(Ignored));
  }

  asio::awaitable<void> refuse(SessionPtr S, int Status) {
    HttpMessage Refusal;
    Refusal.Status = Status;
    co_await this->write(S, answerText(Refusal, true, true));
    // The rest of the request is read, so that the close does not reset the
    // connection before the client has read the answer.
    asio::error_code Error;
    S->Socket.shutdown(tcp::socket::shutdown_send, Error);
    std::array<char, ReadBytes> Rest;
    this->arm(S, std::chrono::milliseconds(500));
    while (!Error)
      co_await S->Socket.async_read_some(asio::buffer(Rest), into(Error));
    S->Limit.cancel();
  }

  /// Notices a client that leaves while its request runs, and keeps what it
  /// pipelines.
  asio::awaitable<void> watch(SessionPtr S, CancellationPtr Cancel) {
    std::array<char, ReadBytes> Buffer;
    while (S->Watching && S->Unread.size() < MostPipelinedBytes) {
      asio::error_code Error;
      const std::size_t Length =
          co_await S->Socket.async_read_some(asio::buffer(Buffer), into(Error));
      S->Unread.append(Buffer.data(), Length);
      if (!Error)
        continue;
      if (S->Watching)
        Cancel->cancel();
      break;
    }
    S->Watching = false;
    S->Watched.cancel();
  }

  asio::awaitable<void> endWatch(SessionPtr S) {
    if (!S->Watching)
      co_return;
    S->Watching = false;
    asio::error_code Ignored;
    S->Watched.expires_at(Clock::time_point::max());
    S->Socket.cancel(Ignored);
    co_await S->Watched.async_wait(into(Ignored));
  }

  asio::awaitable<void> serve(SessionPtr S) {
    const auto Self = this->shared_from_this();
    for (;;) {
      auto Request = co_await this->read(S);
      if (!Request)
        break;
      const bool WithBody = Request->Method != "HEAD";
      const bool KeepAlive = Request->KeepAlive;
      auto Cancel = std::make_shared<Cancellation>();
      S->Watching = true;
      asio::co_spawn(this->Context, this->watch(S, Cancel), asio::detached);
      const HttpMessage Reply =
          co_await this->Answer(std::move(*Request), Cancel);
      co_await this->endWatch(S);
      if (Cancel->isCancelled())
        break;
      const bool Close =
          !KeepAlive || this->CloseAfterAnswers || !Reply.KeepAlive;
      const bool Written =
          co_await this->write(S, answerText(Reply, Close, WithBody));
      this->setActive(S, false);
      if (!Written || Close)
        break;
    }
    S->Limit.cancel();
    this->setActive(S, false);
    shut(S);
    this->Sessions.erase(S);
  }

  asio::awaitable<void> accept() {
    const auto Self = this->shared_from_this();
    while (this->Acceptor.is_open()) {
      asio::error_code Error;
      tcp::socket Socket = co_await this->Acceptor.async_accept(into(Error));
      if (Error == asio::error::operation_aborted ||
          Error == asio::error::bad_descriptor)
        co_return;
      if (Error || this->Sessions.size() >= this->Limits.Connections) {
        // Out of descriptors or sessions: waits for some to end.
        co_await sleepFor(AcceptPause);
        continue;
      }
      asio::error_code Ignored;
      Socket.set_option(tcp::no_delay(true), Ignored);
      auto S = std::make_shared<Session>(std::move(Socket), this->Context);
      this->Sessions.insert(S);
      asio::co_spawn(this->Context, this->serve(S), asio::detached);
    }
  }
};

HttpServer::HttpServer(asio::io_context &Context, Handler Answer)
    : Core(std::make_shared<State>(Context, std::move(Answer))) {}

HttpServer::~HttpServer() {
  this->stopAccepting();
  for (const auto &S : this->Core->Sessions) {
    asio::error_code Ignored;
    S->Socket.close(Ignored);
  }
}

Outcome<void> HttpServer::listen(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  asio::error_code Error;
  unsigned Port = 0;
  if (Colon == std::string::npos)
    return failure(Errc::Malformed);
  const auto Ip = asio::ip::make_address(Address.substr(0, Colon), Error);
  const char *const End = Address.data() + Address.size();
  const auto Read = std::from_chars(Address.data() + Colon + 1, End, Port);
  if (Error || Read.ec != std::errc() || Read.ptr != End || Port > 65535)
    return failure(Errc::Malformed);
  auto &Acceptor = this->Core->Acceptor;
  const tcp::endpoint Endpoint(Ip, static_cast<std::uint16_t>(Port));
  Acceptor.open(Endpoint.protocol(), Error);
  if (!Error)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(Endpoint, Error);
  if (!Error)
    Acceptor.listen(tcp::acceptor::max_listen_connections, Error);
  if (Error)
    return failure(Errc::Unavailable);
  asio::co_spawn(this->Core->Context, this->Core->accept(), asio::detached);
  return {};
}

std::uint16_t HttpServer::port() const {
  asio::error_code Ignored;
  return this->Core->Acceptor.local_endpoint(Ignored).port();
}

void HttpServer::setLimits(const ServerLimits &Limits) {
  this->Core->Limits = Limits;
}

void HttpServer::closeAfterAnswers() { this->Core->CloseAfterAnswers = true; }

void HttpServer::stopAccepting() {
  asio::error_code Ignored;
  this->Core->Acceptor.close(Ignored);
}

void HttpServer::closeIdle() {
  for (const auto &S : this->Core->Sessions) {
    asio::error_code Ignored;
    if (!S->Active)
      S->Socket.cancel(Ignored);
  }
}

std::size_t HttpServer::connections() const {
  return this->Core->Sessions.size();
}

std::size_t HttpServer::activeRequests() const { return this->Core->Active; }

} // namespace rr
