#include "base/Errc.h"
#include "base/Timer.h"
#include "http1/EarlyAnswerServer.h"
#include "http1/RawAnswerServer.h"
#include "httpclient/HttpClient.h"
#include "httpserver/HttpListener.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <exception>
#include <optional>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// Listener and client on one event loop, on a port chosen by the system.
struct Loopback {
  explicit Loopback(HttpListener::Handler Handle)
      : Listener(this->Context, ListenerSettings(), std::move(Handle)),
        Client(this->Context, 8) {}

  std::string url(const std::string &Path) const {
    return "http://127.0.0.1:" + std::to_string(this->Listener.port()) + Path;
  }

  void run(std::function<asio::awaitable<void>()> Task) {
    asio::co_spawn(this->Context, Task, [&](const std::exception_ptr &Error) {
      this->Listener.close();
      this->Context.stop();
      if (Error)
        std::rethrow_exception(Error);
    });
    this->Context.run();
  }

  asio::io_context Context;
  HttpListener Listener;
  HttpClient Client;
};

asio::awaitable<HttpResponse> echo(HttpServerRequest Request) {
  co_return jsonResponse(200, Request.Method + Request.Path + Request.Body);
}

HttpRequest makeRequest(const std::string &Url) {
  HttpRequest Result;
  Result.Url = Url;
  return Result;
}

} // namespace

// Guards against methods, paths or bodies that are altered in transit.
TEST_CASE("Method, path and body of a request arrive unchanged") {
  Loopback Net(echo);
  HttpResult Result;
  Net.run([&]() -> asio::awaitable<void> {
    HttpRequest Request = makeRequest(Net.url("/a"));
    Request.Method = "POST";
    Request.Body = "text";
    Result = co_await Net.Client.send(Request);
  });
  CHECK_FALSE(Result.Error);
  CHECK(Result.Status == 200);
  CHECK(Result.Body == "POST/atext");
}

// Guards against reporting a request as not sent when the server may have
// received it.
TEST_CASE("A request counts as unsent after a refused connection, but not "
          "after a lost one") {
  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor(Context,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  const std::string Address =
      "http://127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  HttpClient Client(Context, 8);
  HttpResult Lost;
  HttpResult Refused;
  const auto CloseOne = [&]() -> asio::awaitable<void> {
    auto Socket = co_await Acceptor.async_accept(asio::use_awaitable);
    char Buffer[64];
    co_await Socket.async_read_some(asio::buffer(Buffer), asio::use_awaitable);
    Socket.close();
    Acceptor.close();
  };
  const auto Ask = [&]() -> asio::awaitable<void> {
    HttpRequest Request = makeRequest(Address);
    Lost = co_await Client.send(Request);
    Refused = co_await Client.send(Request);
  };
  const auto Rethrow = [](const std::exception_ptr &Error) {
    if (Error)
      std::rethrow_exception(Error);
  };
  asio::co_spawn(Context, CloseOne, Rethrow);
  asio::co_spawn(Context, Ask, Rethrow);
  Context.run();
  CHECK(Lost.Error == Errc::ConnectionLost);
  CHECK(Lost.MayHaveBeenSent);
  CHECK(Refused.Error == Errc::ConnectionRefused);
  CHECK_FALSE(Refused.MayHaveBeenSent);
}

// Guards against half an answer that counts as a whole one because the write of
// the request, not the read of the answer, is told about the reset.
TEST_CASE("An answer without a length whose connection is reset during the "
          "upload is an error") {
  asio::io_context Context;
  EarlyAnswerServer Server(
      Context, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of it");
  HttpClient Client(Context, 8);
  HttpResult Result;
  bool Ended = false;
  asio::co_spawn(
      Context,
      [&]() -> asio::awaitable<void> {
        HttpRequest Request = makeRequest("http://" + Server.address());
        Request.Method = "POST";
        Request.Body.assign(LongBodyBytes, 'x');
        Result = co_await Client.send(Request);
        Ended = true;
      },
      asio::detached);
  while (!Server.Answered && !Ended)
    Context.run_one();
  // Lets the client fill the buffers, so that its write is blocked.
  for (int Round = 0; Round < 100; ++Round)
    Context.poll();
  Server.crash();
  while (!Ended)
    Context.run_one();
  CHECK(Result.Error == Errc::ConnectionLost);
  CHECK(Result.MayHaveBeenSent);
}

namespace {

/// The result of a request that is answered with \p Bytes.
HttpResult resultOf(const std::string &Bytes, const std::string &Method = "GET",
                    bool Closes = true) {
  asio::io_context Context;
  RawAnswerServer Server(Context, [&](const std::string &) { return Bytes; });
  Server.CloseAfterAnswer = Closes;
  HttpClient Client(Context, 8);
  std::optional<HttpResult> Result;
  asio::co_spawn(
      Context,
      [&]() -> asio::awaitable<void> {
        HttpRequest Request = makeRequest("http://" + Server.address());
        Request.Method = Method;
        Result = co_await Client.send(Request);
      },
      asio::detached);
  while (!Result)
    Context.run_one();
  return *Result;
}

} // namespace

// Guards against answers of a server in trouble that `serve` passes on, or that
// are taken for answers of the store: libcurl accepts more than the grammar.
TEST_CASE("An answer that the grammar does not allow is malformed") {
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  const std::string Rest = "Content-Length: 2\r\n\r\nab";
  const std::string Chunks = "\r\n\r\n2\r\nab\r\n0\r\n\r\n";
  for (const std::string &Bytes :
       {"HTTP/1.1 000 OK\r\n" + Rest,
        "HTTP/1.1 099 OK\r\n" + Rest,
        "HTTP/1.1 20 OK\r\n" + Rest,
        "HTTP/1.1 600 OK\r\n" + Rest,
        "HTTP/1.1 2000 OK\r\n" + Rest,
        "HTTP/2.0 200 OK\r\n" + Rest,
        "HTTP/1.1  200 OK\r\n" + Rest,
        "HTTP/1.1 200 O\x01K\r\n" + Rest,
        "HTTP/1.1 200 OK\n" + Rest,
        "\r\n" + Ok + Rest,
        Ok + "X y: z\r\n" + Rest,
        Ok + "X : z\r\n" + Rest,
        Ok + "X\x01: z\r\n" + Rest,
        Ok + ": z\r\n" + Rest,
        Ok + "A: b\r\n X: z\r\n" + Rest,
        Ok + "\nX: z\r\n" + Rest,
        Ok + "\rX: z\r\n" + Rest,
        Ok + "X: z\rY: z\r\n" + Rest,
        Ok + "X: \x01\r\n" + Rest,
        Ok + "X\r\n" + Rest,
        Ok + "Content-Length: -2\r\n\r\nab",
        Ok + "Content-Length: +2\r\n\r\nab",
        Ok + "Content-Length: 2x\r\n\r\nab",
        Ok + "Content-Length: 99999999999999999999\r\n\r\nab",
        Ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nab",
        Ok + "Content-Length: 2\r\nTransfer-Encoding: chunked" + Chunks,
        Ok + "Transfer-Encoding: xchunked" + Chunks,
        Ok + "Transfer-Encoding: gzip, chunked" + Chunks,
        Ok + "Transfer-Encoding: chunked, chunked" + Chunks,
        Ok + "Transfer-Encoding: identity\r\n\r\nab"}) {
    CAPTURE(Bytes);
    const HttpResult Result = resultOf(Bytes);
    CHECK(Result.Error == Errc::Malformed);
    CHECK(Result.MayHaveBeenSent);
  }
}

// Guards against refusing what servers may send.
TEST_CASE("Proper answers are accepted as before") {
  const std::string Fields = "X: y \t\r\n!#$%&'*+-.^_`|~:\r\n";
  for (const std::string &Bytes :
       {"HTTP/1.1 200\r\n" + Fields + "Content-Length: 2\r\n\r\nab",
        "HTTP/1.0 200 OK\r\n" + Fields + "\r\nab",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + Fields +
            "Content-Length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\n" + Fields +
            "Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nab\r\n0\r\n"
            "X: trailer\r\n\r\n"}) {
    CAPTURE(Bytes);
    const HttpResult Result = resultOf(Bytes);
    CHECK_FALSE(Result.Error);
    CHECK(Result.Status == 200);
    CHECK(Result.Body == "ab");
    REQUIRE(findHeader(Result.Headers, "X"));
    CHECK(*findHeader(Result.Headers, "X") == "y");
    CHECK(std::count_if(
              Result.Headers.begin(), Result.Headers.end(),
              [](const HttpHeader &Field) { return Field.Name == "X"; }) == 1);
  }
  for (const char *Status : {"204 No Content", "304 Not Modified"})
    for (const char *Length : {"", "Content-Length: 2\r\n"}) {
      const HttpResult Result =
          resultOf(std::string("HTTP/1.1 ") + Status + "\r\n" + Length + "\r\n",
                   "GET", false);
      CHECK_FALSE(Result.Error);
      CHECK(Result.Body.empty());
    }
  CHECK_FALSE(
      resultOf("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "HEAD", false)
          .Error);
}

// Guards against handlers that continue after the client has disconnected.
TEST_CASE("Closing the client's connection cancels its request") {
  bool Cancelled = false;
  Loopback Net([&](HttpServerRequest Request) -> asio::awaitable<HttpResponse> {
    Request.Cancel->onCancel([&] { Cancelled = true; });
    for (int I = 0; I < 100 && !Cancelled; ++I)
      co_await sleepFor(20ms);
    co_return HttpResponse();
  });
  HttpResult Result;
  Net.run([&]() -> asio::awaitable<void> {
    HttpRequest Request = makeRequest(Net.url("/slow"));
    Request.Timeout = 100ms;
    Result = co_await Net.Client.send(Request);
    for (int I = 0; I < 100 && !Cancelled; ++I)
      co_await sleepFor(20ms);
  });
  CHECK(Result.Error == Errc::Timeout);
  CHECK(Cancelled);
}
