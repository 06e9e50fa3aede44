#include "gateway/Gateway.h"
#include "gateway/QuotaExchange.h"
#include "gateway/StandbyBed.h"
#include "gateway/StandbyForwarder.h"
#include "links/PeerLinks.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <deque>

using namespace rr;
using namespace std::chrono_literals;

namespace {

std::string safeRequest(const std::string &Id, int DeadlineMs = 1500) {
  return "GET /safe/x HTTP/1.1\r\nHost: h\r\nId: " + Id +
         "\r\nDeadline: " + std::to_string(DeadlineMs) + "\r\nKey: key\r\n\r\n";
}

std::string openRequest(const std::string &Id) {
  return "GET /open/x HTTP/1.1\r\nHost: h\r\nId: " + Id +
         "\r\nDeadline: 1500\r\n\r\n";
}

/// Sends \p Text and closes the connection before the instance sees either.
void sendAndLeave(InstanceTestBed &Bed, const std::string &Text) {
  asio::ip::tcp::socket Socket(Bed.Context);
  Socket.connect(
      {asio::ip::make_address("127.0.0.1"), Bed.Instance->callerPort()});
  asio::write(Socket, asio::buffer(Text));
}

/// Listener that accepts nothing and whose backlog is full, so that further
/// connections are not established.
struct FullListener {
  explicit FullListener(asio::io_context &Context) : Acceptor(Context) {
    const asio::ip::tcp::endpoint Any(asio::ip::make_address("127.0.0.1"), 0);
    this->Acceptor.open(Any.protocol());
    this->Acceptor.bind(Any);
    this->Acceptor.listen(0);
    for (int Count = 0; Count < 4; ++Count) {
      this->Pending.emplace_back(Context).async_connect(
          this->Acceptor.local_endpoint(), [](const asio::error_code &) {});
      Context.restart();
      Context.run_for(20ms);
    }
  }

  std::string address() const {
    return "127.0.0.1:" +
           std::to_string(this->Acceptor.local_endpoint().port());
  }

  asio::ip::tcp::acceptor Acceptor;
  std::deque<asio::ip::tcp::socket> Pending;
};

} // namespace

// Guards against requests that use servers although their callers left while
// the process was held up.
TEST_CASE("A request that arrives together with the close of its connection is "
          "not passed on",
          "[abandoned]") {
  TwoServerBed B;
  B.start();
  // Connections to both servers are open, so that nothing delays the request.
  for (int Count = 0; Count < 8; ++Count)
    REQUIRE(hasStatus(B.request("GET", "/safe/x"), 200));
  const std::size_t Before = B.arrivals();
  for (int Count = 0; Count < 4; ++Count)
    sendAndLeave(B, safeRequest("left" + std::to_string(Count)));
  // The start of a further request is unread when the connection ends.
  sendAndLeave(B, safeRequest("left5") + safeRequest("left6").substr(0, 30));
  B.advance(200ms);
  CHECK(B.arrivals() == Before);
  CHECK(B.metrics().find("outcome=\"caller_left_unsent\",route=\"safe\"} 5") !=
        std::string::npos);
  CHECK(hasStatus(B.request("GET", "/safe/x"), 200));
}

// Guards against the same on the way through a standby.
TEST_CASE("A standby does not forward a request whose caller has left",
          "[abandoned]") {
  StandbyBed B;
  int Received = 0;
  HttpServer Large(B.Context,
                   [&](HttpMessage Request, const CancellationPtr &)
                       -> asio::awaitable<HttpMessage> {
                     ++Received;
                     co_return InstanceTestBed::goodAnswer(Request);
                   });
  B.putLargeAt(Large);
  REQUIRE(hasStatus(B.request("GET", "/open/x"), 200));
  REQUIRE(Received == 1);
  sendAndLeave(B, openRequest("left"));
  B.advance(200ms);
  CHECK(Received == 1);
  CHECK(B.arrivals() == 0);
}

// Guards against a caller that leaves while the connection to the other
// instance is established, before the event loop sees that it left.
TEST_CASE("A standby looks for its caller before it writes a request",
          "[abandoned]") {
  asio::io_context Context;
  int Received = 0;
  HttpServer Other(Context,
                   [&](HttpMessage Request, const CancellationPtr &)
                       -> asio::awaitable<HttpMessage> {
                     ++Received;
                     co_return InstanceTestBed::goodAnswer(Request);
                   });
  REQUIRE(Other.listen("127.0.0.1:0"));
  SteeringState State(testSettings());
  MemberRecord Record;
  Record.Name = "other";
  Record.Zone = "z-a";
  Record.Region = "z";
  Record.Address = "127.0.0.1:" + std::to_string(Other.port());
  State.Members.apply(Record);
  Metrics Counters;
  StandbyForwarder Forwarder(Context, State, Counters);
  const auto Forward = [&](bool HasLeft) {
    HttpMessage Request;
    Request.Method = "GET";
    Request.Target = "/open/x";
    Request.Headers = {{"Host", "h"}, {"Id", "1"}};
    const auto Cancel = std::make_shared<Cancellation>();
    Cancel->setProbe([HasLeft]() -> std::optional<Clock::duration> {
      return HasLeft ? std::optional<Clock::duration>(0s) : std::nullopt;
    });
    std::optional<HttpMessage> Reply;
    bool Ended = false;
    asio::co_spawn(
        Context,
        [](StandbyForwarder &From, HttpMessage Message, CancellationPtr Caller,
           std::optional<HttpMessage> &Target,
           bool &Done) -> asio::awaitable<void> {
          Target = co_await From.forwardRequest(std::move(Message), Caller);
          Done = true;
        }(Forwarder, Request, Cancel, Reply, Ended),
        asio::detached);
    REQUIRE(runUntil(Context, [&] { return Ended; }));
    REQUIRE(Reply);
    return Reply->Status;
  };
  CHECK(Forward(true) == 499);
  CHECK(Received == 0);
  CHECK(Forward(false) == 200);
  CHECK(Received == 1);
}

// Guards against the same at an instance in service, when the caller leaves
// or the time ends after the server was chosen.
TEST_CASE("A gateway looks for the caller and at the deadline directly before "
          "it writes",
          "[abandoned]") {
  Clock::pause();
  asio::io_context Context;
  int Received = 0;
  HttpServer Server(Context,
                    [&](HttpMessage Request, const CancellationPtr &)
                        -> asio::awaitable<HttpMessage> {
                      ++Received;
                      co_return InstanceTestBed::goodAnswer(Request);
                    });
  REQUIRE(Server.listen("127.0.0.1:0"));
  Metrics Counters;
  SteeringState State(testSettings());
  State.Config = testConfiguration(1, {}, 0, 0);
  State.BackendsKnown = State.MembersKnown = true;
  BackendRecord Backend;
  Backend.Id = "b1";
  Backend.Service = "stock";
  Backend.Version = "v1";
  Backend.Zone = "z-a";
  Backend.Slots = 4;
  Backend.Address = "127.0.0.1:" + std::to_string(Server.port());
  State.Backends.apply(Backend, Clock::now());
  PeerLinks Links(Context, {"i0", "z-a", ""});
  QuotaExchange Quotas(State, Links, Counters);
  Gateway Requests(Context, State, Quotas, Counters);
  /// \p AtWrite is called when the caller is looked for the second time, which
  /// is after the server was chosen, and tells whether it has left.
  const auto Ask = [&](const std::function<bool()> &AtWrite) {
    HttpMessage Message;
    Message.Method = "GET";
    Message.Target = "/open/x";
    Message.Headers = {{"Host", "h"}, {"Id", "1"}, {"Deadline", "1500"}};
    const auto Cancel = std::make_shared<Cancellation>();
    int Looks = 0;
    Cancel->setProbe([&]() -> std::optional<Clock::duration> {
      if (++Looks == 2 && AtWrite())
        return Clock::duration::zero();
      return std::nullopt;
    });
    int Status = 0;
    asio::co_spawn(
        Context,
        [](Gateway &To, HttpMessage Request, CancellationPtr Caller,
           int &Target) -> asio::awaitable<void> {
          const HttpMessage Reply = co_await To.handle(
              std::move(Request), std::move(Caller), Clock::now());
          Target = Reply.Status;
        }(Requests, Message, Cancel, Status),
        asio::detached);
    REQUIRE(runUntil(Context, [&] { return Status != 0; }));
    return Status;
  };
  CHECK(Ask([] { return false; }) == 200);
  REQUIRE(Received == 1);
  CHECK(Ask([] { return true; }) == 499);
  CHECK(Ask([] {
          Clock::advance(2s);
          return false;
        }) == 503);
  CHECK(Received == 1);
  Clock::resume();
}

// Guards against a refusal by an instance without room that the standby returns
// although another instance has room.
TEST_CASE("A standby offers a request to another instance when the first one "
          "has no room",
          "[abandoned]") {
  StandbyBed B;
  int Asked = 0;
  HttpServer Large(B.Context,
                   [&](HttpMessage Request, const CancellationPtr &)
                       -> asio::awaitable<HttpMessage> {
                     HttpMessage Reply = InstanceTestBed::goodAnswer(Request);
                     if (++Asked == 1)
                       Reply.Status = 503;
                     co_return Reply;
                   });
  B.putLargeAt(Large);
  CHECK(hasStatus(B.request("GET", "/open/x"), 200));
}

// Guards against a request that is passed on after its caller's deadline, and
// against a server that is avoided because the request had no time left.
TEST_CASE("A request whose time ends before it can be sent gets 503, and its "
          "server is not avoided",
          "[abandoned]") {
  TwoServerBed B;
  FullListener Full(B.Context);
  B.start();
  // Fast answers, so that the request seems to have enough time.
  for (int Count = 0; Count < 40; ++Count)
    REQUIRE(hasStatus(B.request("GET", "/safe/x"), 200));
  for (const char *Id : {"b1", "b2"})
    B.Tables.put("backends", Id, Full.address() + " z-a ready");
  B.advance(1200ms);
  LoopbackClient Peer(B.Context, B.Instance->callerPort());
  Peer.send(safeRequest("late", 200));
  B.advance(300ms);
  INFO(Peer.Received);
  CHECK(hasStatus(Peer.Received, 503));
  CHECK(Peer.Received.find("time for this request ended") != std::string::npos);
  for (const char *Id : {"b1", "b2"})
    CHECK(B.Instance->state().Backends.find(Id)->RetryAt <= Clock::now());
}
