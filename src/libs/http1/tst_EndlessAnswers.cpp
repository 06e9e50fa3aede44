#include "http1/ByteBudget.h"
#include "http1/EndlessAnswerServer.h"
#include "http1/HttpConnectionPool.h"
#include "http1/LoopbackClient.h"
#include "http1/MessageParser.h"

#include "base/Errc.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

// Guards against running out of memory when broken servers send endless
// responses, each of them within the limit for a single response.
TEST_CASE("Endless responses are aborted long before their deadline and stay "
          "within the memory budget",
          "[http1]") {
  const EndlessAnswer Sent = GENERATE(from_range(endlessAnswers("1")));
  CAPTURE(Sent.Name);
  asio::io_context Context;
  EndlessAnswerServer Server(Context, Sent);
  const auto Budget = std::make_shared<ByteBudget>(4U << 20);
  HttpConnectionPool Pool(Context, 2, {16U << 10, 2U << 20, Budget});
  constexpr int Calls = 12;
  int Ended = 0;
  int Failed = 0;
  for (int Index = 0; Index < Calls; ++Index)
    asio::co_spawn(
        Context,
        [&]() -> asio::awaitable<void> {
          HttpConnectionPool::Call Call;
          Call.Address = Server.address();
          Call.Request.Method = "GET";
          Call.Request.Target = "/";
          Call.Accepts = [](const HttpMessage &Answer) {
            const std::string *Id = findHeader(Answer.Headers, "Id");
            return !Id || *Id == "1";
          };
          Call.ConnectDeadline = Call.Deadline = Clock::now() + 10min;
          const ExchangeResult Result = co_await Pool.call(std::move(Call));
          Failed += Result.Error && Result.MayHaveBeenSent ? 1 : 0;
          ++Ended;
        },
        asio::detached);
  std::size_t Most = 0;
  CHECK(runUntil(Context, [&] {
    Most = std::max(Most, Budget->usedBytes());
    return Ended == Calls;
  }));
  CHECK(Failed == Calls);
  CHECK(Most <= Budget->capacity());
  CHECK(Budget->usedBytes() == 0);
  CHECK(runUntil(Context, [&] { return Server.Open == 0; }));
}

// Guards against reserved memory that is never released.
TEST_CASE("A message keeps its reservation until its last copy is destroyed",
          "[http1]") {
  const auto Budget = std::make_shared<ByteBudget>(2000);
  const std::string Text =
      "HTTP/1.1 200 OK\r\nContent-Length: 600\r\n\r\n" + std::string(600, 'x');
  {
    MessageParser Parser(MessageParser::Kind::Response, {1000, 1000, Budget});
    Parser.feed(Text);
    REQUIRE(Parser.isComplete());
    HttpMessage Message = Parser.take();
    const HttpMessage Copy = Message;
    Message = {};
    // The body, the header field and its text.
    CHECK(Budget->usedBytes() >= 600 + sizeof(HttpHeader));
    CHECK(Budget->usedBytes() <= 600 + sizeof(HttpHeader) + 30);
    MessageParser Second(MessageParser::Kind::Response, {1000, 1000, Budget});
    Second.feed(Text);
    CHECK(Second.error() == ParseError::BodyBudgetExhausted);
  }
  CHECK(Budget->usedBytes() == 0);
}

// Guards against small requests that are refused because large bodies use up
// the budget.
TEST_CASE("Bodies leave a part of the budget to headers", "[http1]") {
  const auto Budget = std::make_shared<ByteBudget>(4000);
  const ParserLimits Limits{1000, 10000, Budget};
  MessageParser Large(MessageParser::Kind::Request, Limits);
  Large.feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n");
  for (int Index = 0; Index < 400 && Large.error() == ParseError::None; ++Index)
    Large.feed("0123456789");
  CHECK(Large.error() == ParseError::BodyBudgetExhausted);
  MessageParser Small(MessageParser::Kind::Request, Limits);
  Small.feed("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(Small.isComplete());
}
