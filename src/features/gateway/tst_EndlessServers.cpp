#include "gateway/InstanceTestBed.h"
#include "http1/ByteBudget.h"
#include "http1/EndlessAnswerServer.h"
#include "testing/RunReady.h"

#include <catch2/catch.hpp>

#include <malloc.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// An instance with little memory, servers that answer without end, and two
/// that work.
struct EndlessBed : InstanceTestBed {
  static constexpr double MemoryMiB = 48;
  static constexpr int EndlessServers = 12;
  static constexpr std::size_t GoodBodyBytes = 5'000;

  explicit EndlessBed(const EndlessAnswer &Sent)
      : InstanceTestBed(1, 0, nullptr, MemoryMiB),
        Endless(this->Context, Sent) {
    for (int Index = 0; Index < EndlessServers; ++Index)
      this->Tables.put("backends", "endless" + std::to_string(Index),
                       this->Endless.address() + " z-a ready");
    for (const char *Id : {"good1", "good2"}) {
      Backend &Good = this->addBackend(Id);
      for (int Index = 0; Index < 1000; ++Index)
        Good.Answers.push_back([](const HttpMessage &Request) {
          HttpMessage Reply = goodAnswer(Request);
          Reply.Body.assign(GoodBodyBytes, 'g');
          return Reply;
        });
    }
    this->configure(1, {"key"});
    if (!this->Instance->start())
      std::abort();
    this->advance(8s);
  }

  using Callers = std::vector<std::unique_ptr<LoopbackClient>>;

  /// Sends requests at once, each on a connection of its own. They share the id
  /// that the endless answers name.
  Callers send(int Count) {
    Callers Sent;
    for (int Index = 0; Index < Count; ++Index) {
      Sent.push_back(std::make_unique<LoopbackClient>(
          this->Context, this->Instance->callerPort()));
      Sent.back()->send("GET /order/x HTTP/1.1\r\nHost: h\r\nId: 1\r\n"
                        "Deadline: 1500\r\nKey: key\r\n"
                        "Connection: close\r\n\r\n");
    }
    return Sent;
  }

  /// Waits until all requests are answered, and returns the answers.
  std::vector<std::string> collect(const Callers &Sent) {
    for (int Step = 0; Step < 400; ++Step) {
      this->advance(10ms);
      this->MostReserved = std::max(
          this->MostReserved, this->Instance->state().BodyBytes->usedBytes());
      if (std::all_of(Sent.begin(), Sent.end(),
                      [](const auto &Peer) { return Peer->Ended; }))
        break;
    }
    std::vector<std::string> Answers;
    for (const auto &Peer : Sent)
      Answers.push_back(Peer->Received);
    return Answers;
  }

  static std::string wholeAnswer() {
    return "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\nContent-Length: " +
           std::to_string(GoodBodyBytes) + "\r\nConnection: close\r\n\r\n" +
           std::string(GoodBodyBytes, 'g');
  }

  EndlessAnswerServer Endless;
  std::size_t MostReserved = 0;
};

const std::string LostText =
    "no usable answer from the backend server; the request may have run";
const std::string BusyText = "all eligible backend servers are at capacity";

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

// Guards against a process that runs out of memory, or fails the requests at
// other servers, because of servers that answer without end.
TEST_CASE("Endless answers on many connections at once do not harm the "
          "requests at other servers",
          "[endless]") {
  const EndlessAnswer Sent = GENERATE(from_range(endlessAnswers("1")));
  CAPTURE(Sent.Name);
  EndlessBed B(Sent);
  const ByteBudget &Budget = *B.Instance->state().BodyBytes;
  const std::size_t Before = ::mallinfo2().uordblks;
  std::size_t Whole = 0;
  std::size_t Lost = 0;
  for (int Round = 0; Round < 4; ++Round) {
    for (const std::string &Answer : B.collect(B.send(60))) {
      if (Answer == EndlessBed::wholeAnswer())
        ++Whole;
      else if (contains(Answer, LostText))
        ++Lost;
      else
        CHECK(contains(Answer, BusyText));
    }
    // The servers are not avoided any more.
    B.advance(15s);
  }
  // Each request that reached a working server got its answer.
  CHECK(Whole == B.arrivals());
  CHECK(Whole > 0);
  CHECK(Lost == std::size_t(B.Endless.Accepted));
  CHECK(Lost > 40);
  CHECK(B.Endless.Open == 0);
  CHECK(B.MostReserved <= Budget.capacity());
  CHECK(Budget.usedBytes() == 0);
  // Nothing of the answers is kept.
  const std::size_t After = ::mallinfo2().uordblks;
  CHECK((After < Before || After - Before < Budget.capacity() / 4));
}

// Guards against answers of working servers that fail because answers that
// neither end nor go on hold the memory until their deadline.
TEST_CASE("Answers that stall after many bytes leave memory for other answers",
          "[endless]") {
  EndlessAnswer Sent{"stalled body",
                     "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\n\r\n",
                     std::string(4000, 'x')};
  Sent.MaxPieces = GENERATE(20U, 30U, 34U, 36U, 40U, 50U, 100U, 300U, 800U);
  CAPTURE(Sent.MaxPieces);
  EndlessBed B(Sent);
  for (int Round = 0; Round < 4; ++Round) {
    const auto Stalled = B.send(60);
    B.advance(200ms);
    const std::size_t Before = B.arrivals();
    const auto Answers = B.collect(B.send(30));
    const auto Whole =
        std::count(Answers.begin(), Answers.end(), EndlessBed::wholeAnswer());
    CHECK(std::size_t(Whole) == B.arrivals() - Before);
    CHECK(Whole > 0);
    CHECK(B.MostReserved <= B.Instance->state().BodyBytes->capacity());
    B.advance(15s);
  }
  CHECK(B.Instance->state().BodyBytes->usedBytes() == 0);
}
