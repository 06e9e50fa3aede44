#include "http1/HttpConnectionPool.h"

#include "base/Errc.h"
#include "http1/LoopbackClient.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// Server that writes predefined bytes for each request.
struct ScriptedServer {
  explicit ScriptedServer(asio::io_context &Context)
      : Context(Context),
        Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}) {
    this->accept();
  }

  struct Session {
    explicit Session(asio::ip::tcp::socket Opened)
        : Socket(std::move(Opened)) {}
    asio::ip::tcp::socket Socket;
    std::string Read;
    char Buffer[4096];
  };

  void accept() {
    this->Acceptor.async_accept(
        [this](const asio::error_code &Error, asio::ip::tcp::socket Socket) {
          if (Error)
            return;
          ++this->Connections;
          this->serve(std::make_shared<Session>(std::move(Socket)));
          this->accept();
        });
  }

  void serve(const std::shared_ptr<Session> &S) {
    S->Socket.async_read_some(
        asio::buffer(S->Buffer),
        [this, S](const asio::error_code &Error, std::size_t Length) {
          this->SessionError = Error;
          if (Error)
            return;
          S->Read.append(S->Buffer, Length);
          if (S->Read.find("\r\n\r\n") != std::string::npos) {
            S->Read.clear();
            ++this->Requests;
            asio::error_code Ignored;
            if (!this->Answers.empty()) {
              asio::write(S->Socket, asio::buffer(this->Answers.front()),
                          Ignored);
              this->Answers.erase(this->Answers.begin());
            }
            if (this->CloseAfterAnswer) {
              S->Socket.close(Ignored);
              return;
            }
          }
          this->serve(S);
        });
  }

  std::string address() const {
    return "127.0.0.1:" +
           std::to_string(this->Acceptor.local_endpoint().port());
  }

  asio::io_context &Context;
  asio::ip::tcp::acceptor Acceptor;
  std::vector<std::string> Answers;
  bool CloseAfterAnswer = false;
  /// How the last read of a session ended.
  asio::error_code SessionError;
  int Connections = 0;
  int Requests = 0;
};

struct PoolBed {
  ExchangeResult call(Clock::duration Timeout = 5s,
                      const CancellationPtr &Cancel = nullptr) {
    HttpConnectionPool::Call Call;
    Call.Address = this->Server.address();
    Call.Request.Method = "GET";
    Call.Request.Target = "/";
    Call.Request.Headers = {{"Host", "h"}};
    Call.ConnectDeadline = Call.Deadline = Clock::now() + Timeout;
    Call.Cancel = Cancel;
    Call.MayWrite = this->MayWrite;
    Call.MaxUnacknowledged = this->MaxUnacknowledged;
    Call.Accepts = [](const HttpMessage &Response) {
      const std::string *Id = findHeader(Response.Headers, "Id");
      return Id && *Id == "1";
    };
    std::optional<ExchangeResult> Result;
    asio::co_spawn(
        this->Context,
        [](HttpConnectionPool &Pool, HttpConnectionPool::Call Call,
           std::optional<ExchangeResult> &Target) -> asio::awaitable<void> {
          Target = co_await Pool.call(std::move(Call));
        }(this->Pool, std::move(Call), Result),
        asio::detached);
    runUntil(this->Context, [&] { return Result.has_value(); });
    REQUIRE(Result);
    return std::move(*Result);
  }

  asio::io_context Context;
  ScriptedServer Server{this->Context};
  HttpConnectionPool Pool{this->Context, 4, {}};
  std::function<bool()> MayWrite;
  std::optional<Clock::duration> MaxUnacknowledged;
};

std::string answer(const std::string &Id, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nId: " + Id +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

} // namespace

TEST_CASE("A connection is kept and reused", "[links]") {
  PoolBed Bed;
  Bed.Server.Answers = {answer("1", "a"), answer("1", "b")};
  CHECK(Bed.call().Response.Body == "a");
  const ExchangeResult Second = Bed.call();
  CHECK(Second.Response.Body == "b");
  CHECK(Second.Reused);
  CHECK(Bed.Server.Connections == 1);
}

TEST_CASE("A response to another request is skipped", "[links]") {
  PoolBed Bed;
  Bed.Server.Answers = {answer("0", "late") + answer("1", "own")};
  CHECK(Bed.call().Response.Body == "own");
}

TEST_CASE("An unsolicited second response is discarded, and its connection is "
          "not reused",
          "[links]") {
  PoolBed Bed;
  Bed.Server.Answers = {answer("1", "a") + answer("1", "again"),
                        answer("1", "b")};
  CHECK(Bed.call().Response.Body == "a");
  CHECK(Bed.call().Response.Body == "b");
  CHECK(Bed.Server.Connections == 2);
}

TEST_CASE("A truncated or missing response is an error, and the request is not "
          "sent again",
          "[links]") {
  for (const std::string &Bytes :
       {std::string("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nab"),
        std::string("not an answer\r\n\r\n"), std::string()}) {
    CAPTURE(Bytes);
    PoolBed Bed;
    Bed.Server.Answers = {Bytes};
    Bed.Server.CloseAfterAnswer = true;
    const ExchangeResult Result = Bed.call();
    CHECK(Result.Error);
    CHECK(Result.MayHaveBeenSent);
    CHECK(Bed.Server.Requests == 1);
  }
}

// Guards against an answer from a server that stopped in its head.
TEST_CASE(
    "A response whose server closes at any byte before the end is an error",
    "[links]") {
  const std::string Whole = answer("1", "ab");
  for (std::size_t End = 0; End < Whole.size(); ++End) {
    CAPTURE(End);
    PoolBed Bed;
    Bed.Server.Answers = {Whole.substr(0, End)};
    Bed.Server.CloseAfterAnswer = true;
    const ExchangeResult Result = Bed.call();
    CHECK(Result.Error);
    CHECK(Result.MayHaveBeenSent);
    CHECK(Result.Response.Status == 0);
  }
}

TEST_CASE("After a refused connection the request is known to be unsent",
          "[links]") {
  PoolBed Bed;
  Bed.Server.Acceptor.close();
  asio::ip::tcp::acceptor Probe(Bed.Context,
                                {asio::ip::make_address("127.0.0.1"), 0});
  Bed.Server.Acceptor = std::move(Probe);
  const std::string Address = Bed.Server.address();
  Bed.Server.Acceptor.close();
  HttpConnectionPool::Call Call;
  Call.Address = Address;
  Call.Request.Method = "GET";
  Call.Request.Target = "/";
  Call.ConnectDeadline = Call.Deadline = Clock::now() + 5s;
  std::optional<ExchangeResult> Result;
  asio::co_spawn(
      Bed.Context,
      [](HttpConnectionPool &Pool, HttpConnectionPool::Call Call,
         std::optional<ExchangeResult> &Target) -> asio::awaitable<void> {
        Target = co_await Pool.call(std::move(Call));
      }(Bed.Pool, std::move(Call), Result),
      asio::detached);
  REQUIRE(runUntil(Bed.Context, [&] { return Result.has_value(); }));
  CHECK(Result->Error == make_error_code(Errc::ConnectionRefused));
  CHECK_FALSE(Result->MayHaveBeenSent);
}

// Guards against a request that is sent although its caller left, or a lease
// ended, while the connection was established.
TEST_CASE("A request that may not be written any more is not sent", "[links]") {
  PoolBed Bed;
  Bed.Server.Answers = {answer("1", "a"), answer("1", "b")};
  bool Allowed = false;
  Bed.MayWrite = [&] { return Allowed; };
  const ExchangeResult First = Bed.call();
  CHECK(First.Error == make_error_code(Errc::Cancelled));
  CHECK_FALSE(First.MayHaveBeenSent);
  Allowed = true;
  CHECK(Bed.call().Response.Body == "a");
  Allowed = false;
  CHECK_FALSE(Bed.call().MayHaveBeenSent);
  Allowed = true;
  const ExchangeResult Last = Bed.call();
  CHECK(Last.Response.Body == "b");
  // The idle connection was kept while the request was withheld.
  CHECK(Last.Reused);
  CHECK(Bed.Server.Requests == 2);
}

TEST_CASE("A server that does not respond causes a timeout, and cancellation "
          "ends the call",
          "[links]") {
  PoolBed Bed;
  CHECK(Bed.call(50ms).Error == make_error_code(Errc::Timeout));
  const auto Cancel = std::make_shared<Cancellation>();
  asio::steady_timer Later(Bed.Context, 30ms);
  Later.async_wait([&](const asio::error_code &) { Cancel->cancel(); });
  CHECK(Bed.call(5s, Cancel).Error == make_error_code(Errc::Cancelled));
}

// Guards against a request that is delivered after its call has ended, when the
// path to the server recovers.
TEST_CASE("A call that must not outlive its end discards what was not sent",
          "[links]") {
  PoolBed Bed;
  const bool Discard = GENERATE(false, true);
  if (Discard)
    Bed.MaxUnacknowledged = 1s;
  const ExchangeResult Result = Bed.call(50ms);
  CHECK(Result.Error == make_error_code(Errc::Timeout));
  runUntil(Bed.Context, [&] { return bool(Bed.Server.SessionError); });
  if (Discard)
    CHECK(Bed.Server.SessionError == asio::error::connection_reset);
  else
    CHECK(Bed.Server.SessionError == asio::error::eof);
}

// Guards against a number that overflows, after which a connection counts as
// expired or never expires.
TEST_CASE("Any announced idle timeout is accepted", "[http1]") {
  PoolBed Bed;
  for (const char *Timeout :
       {"99999999999", "11529215046068469", "9223372036854775807"})
    Bed.Server.Answers.push_back(
        "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=" +
        std::string(Timeout) + "\r\nContent-Length: 0\r\n\r\n");
  for (int Call = 0; Call < 3; ++Call)
    CHECK_FALSE(Bed.call().Error);
  CHECK(Bed.Server.Connections == 1);
}
