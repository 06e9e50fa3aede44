// Measures the link between two nodes that share one thread, over the loopback
// interface.
#include "peerlink/PeerNode.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <string>
#include <vector>

using namespace rr;
using namespace std::chrono_literals;

namespace {

constexpr int Rounds = 20000;
constexpr int Outstanding = 64;
constexpr std::size_t QueuedBytes = 1000000;

PeerOptions optionsOf(const std::string &Name) {
  PeerOptions Result;
  Result.Name = Name;
  Result.Zone = "z";
  Result.ListenAddress = "127.0.0.1:0";
  Result.SharedSecret = "secret";
  return Result;
}

double secondsSince(Clock::time_point Begin) {
  return std::chrono::duration<double>(Clock::now() - Begin).count();
}

void runUntil(asio::io_context &Context,
              const std::function<bool()> &Condition) {
  const auto Limit = Clock::now() + 60s;
  while (!Condition()) {
    if (Clock::now() > Limit)
      std::abort();
    Context.run_one();
  }
}

void measureRoundTrips(asio::io_context &Context, PeerNode &From) {
  std::vector<double> Times;
  const Message Request{"echo", std::string(200, 'x')};
  for (int I = 0; I < Rounds; ++I) {
    const auto Begin = Clock::now();
    bool Done = false;
    From.call("b", Request, Begin + 5s,
              [&Done](const Outcome<Message> &) { Done = true; });
    runUntil(Context, [&] { return Done; });
    Times.push_back(secondsSince(Begin) * 1e6);
  }
  std::sort(Times.begin(), Times.end());
  std::printf("round trip, 200 B: p50 %.1f us, p99 %.1f us\n",
              Times[Times.size() / 2], Times[Times.size() * 99 / 100]);
}

void measureCalls(asio::io_context &Context, PeerNode &From) {
  const Message Request{"echo", std::string(200, 'x')};
  int Sent = 0, Done = 0;
  std::function<void()> Next = [&] {
    ++Sent;
    From.call("b", Request, Clock::now() + 5s, [&](const Outcome<Message> &) {
      ++Done;
      if (Sent < Rounds)
        Next();
    });
  };
  const auto Begin = Clock::now();
  for (int I = 0; I < Outstanding; ++I)
    Next();
  runUntil(Context, [&] { return Done >= Rounds; });
  std::printf("calls, 200 B, %d outstanding: %.0f/s\n", Outstanding,
              Rounds / secondsSince(Begin));
}

void measureMessages(asio::io_context &Context, PeerNode &From,
                     const int &ReceivedCount, std::size_t Size, int Count) {
  const Message Content{"news", std::string(Size, 'x')};
  const int Before = ReceivedCount;
  // Keep the queue short: a refused message would have to be encoded again.
  const int Window = std::max(1, static_cast<int>(QueuedBytes / Size));
  const auto Begin = Clock::now();
  for (int Sent = 0; Sent < Count; ++Sent) {
    runUntil(Context, [&] { return Sent - (ReceivedCount - Before) < Window; });
    if (!From.send("b", Content))
      std::abort();
  }
  runUntil(Context, [&] { return ReceivedCount - Before == Count; });
  const double Time = secondsSince(Begin);
  std::printf("messages, %zu B: %.0f/s, %.0f MB/s\n", Size, Count / Time,
              static_cast<double>(Size) * Count / Time / 1e6);
}

// Measures the cost of the heartbeats of an idle link.
void measureIdle(asio::io_context &Context, PeerNode &From) {
  const auto Bytes = From.counters().BytesSent + From.counters().BytesReceived;
  const auto Cpu = std::clock();
  Context.run_for(5s);
  const auto Used = From.counters().BytesSent + From.counters().BytesReceived;
  std::printf("idle link: %.0f B/s, %.3f%% of a core for both ends\n",
              static_cast<double>(Used - Bytes) / 5,
              100.0 * static_cast<double>(std::clock() - Cpu) / CLOCKS_PER_SEC /
                  5);
}

} // namespace

int main() {
  asio::io_context Context;
  PeerNode A(Context, optionsOf("a")), B(Context, optionsOf("b"));
  int ReceivedCount = 0;
  B.onCall("echo", [](const IncomingCall &Call) { Call.Answer(Call.Request); });
  B.onMessage("news",
              [&](const std::string &, const Message &) { ++ReceivedCount; });
  if (!A.start() || !B.start())
    return EXIT_FAILURE;
  const auto Begin = Clock::now();
  if (!A.connect("b", "127.0.0.1:" + std::to_string(B.port())))
    return EXIT_FAILURE;
  runUntil(Context, [&] { return A.isLinked("b"); });
  std::printf("connect and handshake: %.0f us\n", secondsSince(Begin) * 1e6);
  measureRoundTrips(Context, A);
  measureCalls(Context, A);
  measureMessages(Context, A, ReceivedCount, 200, 200000);
  measureMessages(Context, A, ReceivedCount, 16384, 20000);
  measureMessages(Context, A, ReceivedCount, 1000000, 200);
  measureIdle(Context, A);
  return EXIT_SUCCESS;
}
