#include "http1/EarlyAnswerServer.h"
#include "http1/HttpConnectionPool.h"
#include "http1/LoopbackClient.h"

#include "base/Errc.h"
#include "testing/RunReady.h"
#include "testing/TestLoop.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// Sends a request with a long body to a server that answers with \p Bytes
/// before it reads the body, and calls \p AfterAnswer once it has answered.
ExchangeResult
uploadDuring(const std::string &Bytes,
             const std::function<void(EarlyAnswerServer &)> &AfterAnswer) {
  TestLoop Loop;
  EarlyAnswerServer Server(Loop.context(), Bytes);
  HttpConnectionPool Pool(Loop.context(), 2, {});
  HttpConnectionPool::Call Call;
  Call.Address = Server.address();
  Call.Request.Method = "POST";
  Call.Request.Target = "/";
  Call.Request.Headers = {{"Host", "h"}};
  Call.Request.Body.assign(LongBodyBytes, 'x');
  Call.ConnectDeadline = Call.Deadline = Clock::now() + 5s;
  std::optional<ExchangeResult> Result;
  asio::co_spawn(
      Loop.context(),
      [&]() -> asio::awaitable<void> {
        Result = co_await Pool.call(std::move(Call));
      },
      asio::detached);
  REQUIRE(runUntil(Loop.context(), [&] { return Server.Answered; }));
  // Lets the client fill the buffers, so that its write is blocked.
  runReady(Loop.context());
  CHECK_FALSE(Result);
  AfterAnswer(Server);
  REQUIRE(runUntil(Loop.context(), [&] { return Result.has_value(); }));
  return std::move(*Result);
}

const std::string WithoutLength =
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

} // namespace

// Guards against half an answer that is passed on as a whole one. Linux reports
// a reset once, here to the write of the request, and the reads after it see a
// regular end of the stream.
TEST_CASE("An answer without a length whose connection is reset during the "
          "upload is an error",
          "[http1]") {
  for (const std::string &Body : {std::string(), std::string("half of it")}) {
    CAPTURE(Body);
    const ExchangeResult Result = uploadDuring(
        WithoutLength + Body, [](EarlyAnswerServer &S) { S.crash(); });
    CHECK(Result.Error == make_error_code(Errc::ConnectionLost));
    CHECK(Result.MayHaveBeenSent);
    CHECK(Result.Response.Status == 0);
  }
}

// Guards against a complete answer that is dropped because the server did not
// want the rest of the request.
TEST_CASE("An answer that states its own end is complete although its "
          "connection is reset during the upload",
          "[http1]") {
  for (const std::string &Bytes :
       {std::string("HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nwhole"),
        std::string("HTTP/1.1 413 Too Large\r\nTransfer-Encoding: "
                    "chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")}) {
    CAPTURE(Bytes);
    const ExchangeResult Result =
        uploadDuring(Bytes, [](EarlyAnswerServer &S) { S.crash(); });
    CHECK_FALSE(Result.Error);
    CHECK(Result.Response.Status == 413);
    CHECK(Result.Response.Body == "whole");
  }
}

TEST_CASE("An answer with a length that is cut off by a reset is an error",
          "[http1]") {
  for (const std::string &Bytes :
       {std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole"),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                    "chunked\r\n\r\n5\r\nwhole\r\n")}) {
    CAPTURE(Bytes);
    const ExchangeResult Result =
        uploadDuring(Bytes, [](EarlyAnswerServer &S) { S.crash(); });
    CHECK(Result.Error);
    CHECK(Result.MayHaveBeenSent);
  }
}

TEST_CASE("An answer without a length that ends regularly after the upload is "
          "complete",
          "[http1]") {
  const ExchangeResult Result =
      uploadDuring(WithoutLength + "all of it",
                   [](EarlyAnswerServer &S) { S.readAndClose(); });
  CHECK_FALSE(Result.Error);
  CHECK(Result.Response.Body == "all of it");
}
