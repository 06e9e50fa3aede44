#include "http1/ConnectionBudget.h"
#include "http1/HttpConnectionPool.h"
#include "http1/HttpServer.h"
#include "http1/LoopbackClient.h"

#include "base/Errc.h"
#include "base/Timer.h"
#include "testing/RunReady.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <catch2/catch.hpp>

#include <deque>
#include <numeric>
#include <vector>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// Ten connections, of which callers are guaranteed four and servers two.
std::shared_ptr<ConnectionBudget> smallBudget() {
  ConnectionParts Parts;
  Parts.Total = 10;
  Parts.Guaranteed = {4, 2, 0, 0, 0};
  return std::make_shared<ConnectionBudget>(Parts);
}

std::size_t guaranteedSum(const ConnectionParts &Parts) {
  return std::accumulate(Parts.Guaranteed.begin(), Parts.Guaranteed.end(),
                         std::size_t{0});
}

} // namespace

// Guards against a limit that is the same on every machine.
TEST_CASE("The connections follow from the descriptors and the memory",
          "[budget]") {
  const ConnectionParts Large = divideConnections(8192, 1024);
  CHECK(Large.Total + Large.Refusals == 8192 - 200);
  const ConnectionParts Small = divideConnections(4100, 1024);
  CHECK(Small.Total + Small.Refusals == 4100 - 200);
  const ConnectionParts LowMemory = divideConnections(8192, 64);
  CHECK(LowMemory.Total < Small.Total);
  for (const ConnectionParts &Parts : {Large, Small, LowMemory}) {
    CHECK(guaranteedSum(Parts) < Parts.Total);
    for (const std::size_t Part : Parts.Guaranteed)
      CHECK(Part > 0);
  }
}

// Guards against an instance that takes no callers, or underflows, with limits
// below the reserve.
TEST_CASE("Very low limits leave some connections for each use", "[budget]") {
  for (const std::size_t Descriptors : {0, 64, 199, 256, 401})
    for (const double Memory : {0.0, 1.0, 256.0}) {
      CAPTURE(Descriptors, Memory);
      const ConnectionParts Parts = divideConnections(Descriptors, Memory);
      CHECK(Parts.Total <= std::max<std::size_t>(Descriptors, 64));
      CHECK(guaranteedSum(Parts) <= Parts.Total);
      CHECK(Parts.Guaranteed[0] >= 10);
    }
}

TEST_CASE("Descriptors of the settings never exceed those of the process",
          "[budget]") {
  const std::size_t OfProcess = availableDescriptors(0);
  CHECK(OfProcess > 0);
  CHECK(availableDescriptors(OfProcess + 1) == OfProcess);
  CHECK(availableDescriptors(20) == 20);
}

// Guards against callers that take the connections to the servers, and against
// connections that stay unused while another use is short of them.
TEST_CASE("A use may exceed its part, but not at the expense of the parts of "
          "others",
          "[budget]") {
  const auto Budget = smallBudget();
  std::vector<ConnectionBudget::SlotPtr> Callers;
  while (auto Slot = Budget->tryTake(ConnectionUse::Callers))
    Callers.push_back(std::move(Slot));
  CHECK(Callers.size() == 8);
  std::vector<ConnectionBudget::SlotPtr> Servers;
  while (auto Slot = Budget->tryTake(ConnectionUse::Servers))
    Servers.push_back(std::move(Slot));
  CHECK(Servers.size() == 2);
  Callers.resize(5);
  while (auto Slot = Budget->tryTake(ConnectionUse::Servers))
    Servers.push_back(std::move(Slot));
  CHECK(Servers.size() == 5);
  CHECK(Budget->limit(ConnectionUse::Callers) == 5);
  Callers.clear();
  CHECK(Budget->used(ConnectionUse::Callers) == 0);
  while (auto Slot = Budget->tryTake(ConnectionUse::Servers))
    Servers.push_back(std::move(Slot));
  CHECK(Servers.size() == 6);
}

// Guards against callers beyond the budget of the process.
TEST_CASE("A server refuses callers for which the budget has no connection",
          "[budget]") {
  Clock::pause();
  asio::io_context Context;
  HttpServer Server(
      Context,
      [](HttpMessage, CancellationPtr) -> asio::awaitable<HttpMessage> {
        co_await sleepFor(1s);
        HttpMessage Reply;
        Reply.Status = 200;
        co_return Reply;
      });
  const auto Budget = smallBudget();
  Server.setBudget(Budget, ConnectionUse::Callers);
  REQUIRE(Server.listen("127.0.0.1:0"));
  std::deque<LoopbackClient> Clients;
  const auto Ask = [&] {
    Clients.emplace_back(Context, Server.port())
        .send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    runReady(Context);
  };
  for (int Count = 0; Count < 8; ++Count)
    Ask();
  CHECK(Server.connections() == 8);
  Ask();
  CHECK(Clients.back().Received.rfind("HTTP/1.1 503 ", 0) == 0);
  Clock::advance(1s);
  runReady(Context);
  for (LoopbackClient &Client : Clients)
    Client.close();
  runReady(Context);
  CHECK(Budget->used(ConnectionUse::Callers) == 0);
  Ask();
  Clock::advance(1s);
  runReady(Context);
  CHECK(Clients.back().Received.rfind("HTTP/1.1 200 ", 0) == 0);
  Clock::resume();
}

// Guards against callers that are refused because idle connections of another
// listener use what is for all.
TEST_CASE("A server may close idle connections of another one", "[budget]") {
  Clock::pause();
  asio::io_context Context;
  const auto Answer = [](HttpMessage,
                         CancellationPtr) -> asio::awaitable<HttpMessage> {
    HttpMessage Reply;
    Reply.Status = 200;
    co_return Reply;
  };
  HttpServer Callers(Context, Answer);
  HttpServer Lookups(Context, Answer);
  const auto Budget = smallBudget();
  Callers.setBudget(Budget, ConnectionUse::Callers);
  Lookups.setBudget(Budget, ConnectionUse::Other);
  Callers.setRoomMaker([&] { return Lookups.closeLongestIdle(); });
  REQUIRE(Callers.listen("127.0.0.1:0"));
  REQUIRE(Lookups.listen("127.0.0.1:0"));
  std::deque<LoopbackClient> Clients;
  for (int Count = 0; Count < 4; ++Count)
    Clients.emplace_back(Context, Lookups.port());
  runReady(Context);
  REQUIRE(Lookups.connections() == 4);
  Clock::advance(1s);
  for (int Count = 0; Count < 8; ++Count) {
    Clients.emplace_back(Context, Callers.port());
    runReady(Context);
  }
  CHECK(Callers.connections() == 8);
  CHECK(Lookups.connections() == 0);
  Clock::resume();
}

// Guards against connections to servers beyond the budget, and against idle
// ones that keep a request from its server.
TEST_CASE("A pool closes an idle connection when the budget is used up, and "
          "otherwise does not send the request",
          "[budget]") {
  asio::io_context Context;
  const auto MakeServer = [&] {
    auto Server = std::make_unique<HttpServer>(
        Context,
        [](HttpMessage, CancellationPtr) -> asio::awaitable<HttpMessage> {
          HttpMessage Reply;
          Reply.Status = 200;
          co_return Reply;
        });
    REQUIRE(Server->listen("127.0.0.1:0"));
    return Server;
  };
  const auto First = MakeServer();
  const auto Second = MakeServer();
  ConnectionParts Parts;
  Parts.Total = Parts.Guaranteed[std::size_t(ConnectionUse::Servers)] = 2;
  const auto Budget = std::make_shared<ConnectionBudget>(Parts);
  // Another pool has one of the two.
  const auto Other = Budget->tryTake(ConnectionUse::Servers);
  HttpConnectionPool Pool(Context, 4, {});
  Pool.setBudget(Budget, ConnectionUse::Servers);
  const auto Ask = [&](const HttpServer &Server) {
    HttpConnectionPool::Call Call;
    Call.Address = "127.0.0.1:" + std::to_string(Server.port());
    Call.Request.Method = "GET";
    Call.Request.Target = "/";
    Call.Request.Headers = {{"Host", "h"}};
    Call.ConnectDeadline = Call.Deadline = Clock::now() + 5s;
    std::optional<ExchangeResult> Result;
    asio::co_spawn(
        Context,
        [](HttpConnectionPool &From, HttpConnectionPool::Call Parameters,
           std::optional<ExchangeResult> &Target) -> asio::awaitable<void> {
          Target = co_await From.call(std::move(Parameters));
        }(Pool, std::move(Call), Result),
        asio::detached);
    REQUIRE(runUntil(Context, [&] { return Result.has_value(); }));
    return *Result;
  };
  CHECK_FALSE(Ask(*First).Error);
  CHECK(Budget->used(ConnectionUse::Servers) == 2);
  CHECK_FALSE(Ask(*Second).Error);
  CHECK(Budget->used(ConnectionUse::Servers) == 2);
  Pool.clear();
  Context.poll();
  CHECK(Budget->used(ConnectionUse::Servers) == 1);
  const auto Last = Budget->tryTake(ConnectionUse::Servers);
  const ExchangeResult Refused = Ask(*First);
  CHECK(Refused.Error == make_error_code(Errc::LimitReached));
  CHECK_FALSE(Refused.MayHaveBeenSent);
}

// Guards against idle connections to many servers that use up the descriptors.
TEST_CASE("A pool keeps at most half of its guaranteed part idle", "[budget]") {
  asio::io_context Context;
  std::vector<std::unique_ptr<HttpServer>> Servers;
  ConnectionParts Parts;
  Parts.Total = 10;
  Parts.Guaranteed[std::size_t(ConnectionUse::Servers)] = 4;
  const auto Budget = std::make_shared<ConnectionBudget>(Parts);
  HttpConnectionPool Pool(Context, 4, {});
  Pool.setBudget(Budget, ConnectionUse::Servers);
  int Answered = 0;
  for (int Count = 0; Count < 5; ++Count) {
    Servers.push_back(std::make_unique<HttpServer>(
        Context,
        [](HttpMessage, CancellationPtr) -> asio::awaitable<HttpMessage> {
          HttpMessage Reply;
          Reply.Status = 200;
          co_return Reply;
        }));
    REQUIRE(Servers.back()->listen("127.0.0.1:0"));
    HttpConnectionPool::Call Call;
    Call.Address = "127.0.0.1:" + std::to_string(Servers.back()->port());
    Call.Request.Method = "GET";
    Call.Request.Target = "/";
    Call.Request.Headers = {{"Host", "h"}};
    Call.ConnectDeadline = Call.Deadline = Clock::now() + 5s;
    asio::co_spawn(
        Context,
        [](HttpConnectionPool &From, HttpConnectionPool::Call Parameters,
           int &Done) -> asio::awaitable<void> {
          const auto Result = co_await From.call(std::move(Parameters));
          Done += Result.Error ? 0 : 1;
        }(Pool, std::move(Call), Answered),
        asio::detached);
  }
  REQUIRE(runUntil(Context, [&] { return Answered == 5; }));
  CHECK(Budget->used(ConnectionUse::Servers) == 2);
}
