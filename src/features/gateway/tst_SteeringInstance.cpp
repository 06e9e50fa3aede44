#include "gateway/RateLimitedLog.h"
#include "gateway/TwoServerBed.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

using Bed = TwoServerBed;

TEST_CASE("Before a configuration is known requests are refused with 503, not "
          "with 401 or 404",
          "[instance]") {
  Bed B;
  B.Tables.Down = true;
  B.start();
  CHECK(hasStatus(B.request("GET", "/safe/x"), 503));
  CHECK_FALSE(B.Instance->isReady());
  B.Tables.Down = false;
  B.advance(2s);
  CHECK(B.Instance->isReady());
  CHECK(hasStatus(B.request("GET", "/safe/x"), 200));
}

TEST_CASE("A request reaches its server without the key and with the headers "
          "that the server relies on",
          "[instance]") {
  Bed B;
  B.start();
  const std::string Answer = B.request("GET", "/safe/x?y=1");
  REQUIRE(hasStatus(Answer, 200));
  CHECK(Answer.find("whole body") != std::string::npos);
  CHECK(Answer.find("Stamp: s") != std::string::npos);
  REQUIRE(B.arrivals() == 1);
  const HttpMessage &Seen = B.used().Requests.front();
  CHECK(Seen.Target == "/safe/x?y=1");
  CHECK_FALSE(findHeader(Seen.Headers, "Key"));
  CHECK(*findHeader(Seen.Headers, "Workspace") == "w");
  CHECK(findHeader(Seen.Headers, "Expect-Server"));
  CHECK(std::stoi(*findHeader(Seen.Headers, "Deadline")) <= 1500);
}

TEST_CASE("Requests with unknown routes or keys are refused and not forwarded",
          "[instance]") {
  Bed B;
  B.start();
  CHECK(hasStatus(B.request("GET", "/none/x"), 404));
  CHECK(hasStatus(B.request("GET", "/safe/x", "wrong"), 401));
  CHECK(hasStatus(B.request("GET", "/safe/x", ""), 401));
  CHECK(B.arrivals() == 0);
  CHECK(hasStatus(B.request("GET", "/open/x", ""), 200));
  CHECK_FALSE(findHeader(B.used().Requests.front().Headers, "Workspace"));
}

// Guards against withdrawn keys that are accepted after the revocation time.
TEST_CASE("A withdrawn key is refused, and without the store all keys are "
          "refused before the revocation time ends",
          "[instance]") {
  Bed B;
  B.start();
  CHECK(hasStatus(B.request("GET", "/safe/x"), 200));
  B.configure(2, {"other"});
  B.advance(50ms);
  CHECK(hasStatus(B.request("GET", "/safe/x"), 401));
  CHECK(hasStatus(B.request("GET", "/safe/x", "other"), 200));
  B.Tables.Down = true;
  B.advance(2s);
  CHECK(hasStatus(B.request("GET", "/safe/x", "other"), 200));
  B.advance(4s);
  CHECK(hasStatus(B.request("GET", "/safe/x", "other"), 503));
  CHECK(hasStatus(B.request("GET", "/open/x", ""), 200));
}

TEST_CASE("An older configuration never replaces a newer one", "[instance]") {
  Bed B;
  B.configure(5, {"key"});
  B.start();
  B.configure(4, {"old"});
  B.advance(2s);
  CHECK(hasStatus(B.request("GET", "/safe/x", "old"), 401));
  CHECK(hasStatus(B.request("GET", "/safe/x"), 200));
}

TEST_CASE("Requests that exceed the rate of their workspace get 429",
          "[instance]") {
  Bed B;
  B.configure(2, {"key"}, 2);
  B.start();
  int Refused = 0;
  for (int Index = 0; Index < 10; ++Index)
    Refused += hasStatus(B.request("GET", "/safe/x"), 429) ? 1 : 0;
  CHECK(Refused >= 5);
  CHECK(B.arrivals() + Refused == 10);
}

TEST_CASE("A safe request whose answer is lost is sent to another server",
          "[instance]") {
  Bed B;
  B.start();
  // The retry budget is a share of the requests, so some must be sent first.
  for (int Index = 0; Index < 10; ++Index)
    B.request("GET", "/safe/x");
  const std::size_t Before = B.arrivals();
  for (auto &Item : B.Backends)
    Item.second.Answers.push_back([](const HttpMessage &Request) {
      HttpMessage Reply = InstanceTestBed::goodAnswer(Request);
      std::erase_if(Reply.Headers,
                    [](const HttpHeader &F) { return F.Name == "Stamp"; });
      return Reply;
    });
  B.Backends.at("b2").Answers.clear();
  B.Backends.at("b1").Answers.resize(1);
  for (int Index = 0; Index < 4; ++Index)
    CHECK(hasStatus(B.request("GET", "/safe/x"), 200));
  CHECK(B.arrivals() >= Before + 4);
}

// Guards against unsafe requests that run twice, and against 503 for one that
// may have run.
TEST_CASE("An unsafe request is sent once when its answer is lost, and the "
          "caller gets 502",
          "[instance]") {
  Bed B;
  B.start();
  for (auto &Item : B.Backends)
    Item.second.Answers.push_back([](const HttpMessage &) {
      HttpMessage Reply;
      Reply.Status = 200;
      Reply.Body = "unsigned";
      return Reply;
    });
  CHECK(hasStatus(B.request("POST", "/order/x"), 502));
  CHECK(B.arrivals() == 1);
}

// Guards against an earlier refusal that is written once more.
TEST_CASE("A refusal that does not name the request is not believed",
          "[instance]") {
  const int Status = GENERATE(503, 421);
  Bed B;
  B.start();
  for (auto &Item : B.Backends)
    Item.second.Answers.push_back([Status](const HttpMessage &Request) {
      HttpMessage Reply = InstanceTestBed::notRunAnswer(Request);
      Reply.Status = Status;
      std::erase_if(Reply.Headers,
                    [](const HttpHeader &Field) { return Field.Name == "Id"; });
      return Reply;
    });
  CHECK(hasStatus(B.request("POST", "/order/x"), 502));
  CHECK(B.arrivals() == 1);
}

// Guards against the failure of another request that is passed on.
TEST_CASE("A failure that does not name the request is not passed on",
          "[instance]") {
  Bed B;
  B.start();
  for (auto &Item : B.Backends)
    Item.second.Answers.push_back([](const HttpMessage &) {
      HttpMessage Reply;
      Reply.Status = 500;
      Reply.Headers.push_back({"Stamp", "s"});
      Reply.Body = "of another request";
      return Reply;
    });
  CHECK(hasStatus(B.request("POST", "/order/x"), 502));
}

TEST_CASE("An unsafe request that its server has not run goes to another one",
          "[instance]") {
  Bed B;
  B.start();
  for (int Index = 0; Index < 10; ++Index)
    B.request("POST", "/order/x");
  const std::size_t Before = B.arrivals();
  BackendPtr First;
  for (auto &Item : B.Backends)
    Item.second.Answers.push_back(&InstanceTestBed::notRunAnswer);
  // Neither server runs it, so 503 is correct.
  CHECK(hasStatus(B.request("POST", "/order/x"), 503));
  CHECK(B.arrivals() == Before + 2);
}

TEST_CASE("A request that exceeds the time-out of its route gets 504",
          "[instance]") {
  Bed B;
  B.start();
  for (auto &Item : B.Backends)
    Item.second.Hold = true;
  CHECK(hasStatus(B.request("POST", "/order/x"), 504));
  CHECK(B.used().Cancelled == 1);
}

TEST_CASE("A server that drains or whose row is deleted gets no more requests",
          "[instance]") {
  Bed B;
  B.start();
  B.putBackend("b1", "z-a", true);
  B.advance(1s);
  for (int Index = 0; Index < 6; ++Index)
    CHECK(hasStatus(B.request("GET", "/safe/x"), 200));
  CHECK(B.Backends.at("b1").Requests.empty());
  B.Tables.erase("backends", "b2");
  B.advance(1s);
  const std::string Answer = B.request("GET", "/safe/x");
  CHECK(hasStatus(Answer, 503));
  CHECK(Answer.find("Retry-After: ") != std::string::npos);
}

// Guards against the loss of all servers when their rows expire during a store
// outage.
TEST_CASE("Rows that expired in a store outage can be written again, and the "
          "servers of others are removed shortly after",
          "[instance]") {
  Bed B;
  B.start();
  B.Tables.Down = true;
  B.advance(3s);
  CHECK(hasStatus(B.request("GET", "/open/x", ""), 200));
  B.Tables.erase("backends", "b1");
  B.Tables.erase("backends", "b2");
  B.Tables.Down = false;
  B.advance(1s);
  CHECK(hasStatus(B.request("GET", "/safe/x"), 200));
  B.putBackend("b2", "z-a");
  B.advance(3s);
  const std::size_t Before = B.Backends.at("b1").Requests.size();
  for (int Index = 0; Index < 6; ++Index)
    CHECK(hasStatus(B.request("GET", "/safe/x"), 200));
  CHECK(B.Backends.at("b1").Requests.size() == Before);
}

// Guards against requests to a server that left during an outage, if the
// backend table is the last one to be read again.
TEST_CASE("A server that left during an outage is removed soon after the store "
          "answers for any table",
          "[instance]") {
  Bed B;
  B.start();
  B.Tables.Down = true;
  B.advance(4s);
  B.Tables.erase("backends", "b1");
  B.Tables.Down = false;
  B.Tables.DownTables = {"backends"};
  B.advance(1700ms);
  B.Tables.DownTables.clear();
  B.advance(1500ms);
  CHECK_FALSE(B.Instance->state().Backends.find("b1"));
  CHECK(B.Instance->state().Backends.find("b2"));
}

TEST_CASE("Rows that changed before the store dropped its history are read",
          "[instance]") {
  Bed B;
  B.start();
  B.configure(2, {"other"});
  B.Tables.erase("backends", "b1");
  B.Tables.dropHistory();
  B.advance(2s);
  CHECK(hasStatus(B.request("GET", "/safe/x"), 401));
  CHECK_FALSE(B.Instance->state().Backends.find("b1"));
}

TEST_CASE(
    "An evacuated zone gets no requests until the evacuation ends, and its "
    "servers then count as possibly cold",
    "[instance]") {
  Bed B;
  B.addBackend("b3", "y-a");
  B.Tables.put("orders", "z-a", "");
  B.start();
  for (int Index = 0; Index < 4; ++Index)
    CHECK(hasStatus(B.request("GET", "/safe/x"), 200));
  CHECK(B.Backends.at("b3").Requests.size() == 4);
  B.Tables.erase("orders", "z-a");
  B.advance(100ms);
  CHECK(B.Instance->state().Backends.find("b1")->MaybeCold);
}

// Guards against logging that takes CPU time from the requests under overload.
TEST_CASE("Log lines about single requests are rate-limited, and suppressed "
          "lines are not formatted",
          "[log]") {
  Clock::pause();
  RateLimitedLog Log;
  int Formatted = 0;
  int Written = 0;
  for (int Request = 0; Request < 1000; ++Request)
    Written += Log.write(Event::RequestConcluded, "concluded_503", [&] {
      ++Formatted;
      return std::vector<EventField>{{"request", "r"}};
    });
  CHECK(Written == RateLimitedLog::MaxLinesPerSecond);
  CHECK(Formatted == Written);
  Clock::advance(1s);
  CHECK(Log.write(Event::RequestConcluded, "concluded_503",
                  [] { return std::vector<EventField>{}; }));
  Clock::resume();
}

// Guards against metrics from which an on-call engineer cannot tell why
// requests fail or how old the state of an instance is.
TEST_CASE("Metrics report outcomes, servers, budgets, shares and ages",
          "[metrics]") {
  Bed B;
  B.start();
  B.configure(2, {"key"}, 100);
  B.advance(3s);
  for (const char *Id : {"b1", "b2"})
    B.Backends.at(Id).Answers.assign(1, Bed::notRunAnswer);
  CHECK(hasStatus(B.request("GET", "/open/x"), 503));
  for (const char *Id : {"b1", "b2"})
    B.Backends.at(Id).Answers.clear();
  CHECK(hasStatus(B.request("GET", "/safe/x", "wrong"), 401));
  CHECK(hasStatus(B.request("GET", "/none/x"), 404));
  B.advance(2s);
  for (int Request = 0; Request < 3; ++Request)
    CHECK(hasStatus(B.request("GET", "/safe/x"), 200));
  const std::string Text = B.metrics();
  for (const char *Line :
       {"steering_requests_total{outcome=\"answered\",route=\"safe\"} 3",
        "steering_requests_total{outcome=\"unknown_key\",route=\"\"} 1",
        "steering_requests_total{outcome=\"no_route\",route=\"\"} 1",
        "steering_requests_total{outcome=\"refused_busy\",route=\"open\"} 1",
        "steering_attempts_total{region=\"z\",result=\"not_run\",service="
        "\"stock\"}",
        "steering_servers{region=\"z\",service=\"stock\",state=\"ready\"} 2",
        "steering_rate_share{workspace=\"w\"} ",
        "steering_demand{workspace=\"w\"} ",
        "steering_retry_tokens{service=\"stock\"}",
        "steering_age_seconds{subject=\"orders\"}",
        "store_calls_total{call=\"read_changes\",result=\"done\"}",
        "configuration_version 2"}) {
    INFO(Line);
    INFO(Text);
    CHECK(Text.find(Line) != std::string::npos);
  }
  // Paths and ids are chosen by callers and must not become labels.
  CHECK(Text.find("/none/x") == std::string::npos);
}

// Guards against running out of memory because of long bodies on ports that
// need none, or before the configuration with the limits is known.
TEST_CASE("Bodies are limited and counted on all ports", "[instance]") {
  Bed B;
  REQUIRE(B.Instance->start());
  const ByteBudget &Budget = *B.Instance->state().BodyBytes;
  for (const std::uint16_t Port :
       {B.Instance->lookupPort(), B.Instance->metricsPort()}) {
    LoopbackClient Large(B.Context, Port);
    Large.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65537\r\n\r\n");
    B.advance(50ms);
    CHECK(hasStatus(Large.Received, 413));
  }
  for (const std::uint16_t Port :
       {B.Instance->callerPort(), B.Instance->lookupPort()}) {
    B.advance(50ms);
    REQUIRE(Budget.usedBytes() == 0);
    LoopbackClient Slow(B.Context, Port);
    Slow.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" +
              std::string(1000, 'x'));
    B.advance(50ms);
    CHECK(Budget.usedBytes() >= 1000);
  }
}
