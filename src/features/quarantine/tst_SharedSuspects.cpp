#include "quarantine/RecentAnswers.h"
#include "quarantine/SharedSuspects.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

constexpr Clock::duration Start = 1000s;

/// Adds losses with different servers, each sent \p Interval after the one
/// before and lost 20 ms later.
SharedSuspects suspectsAfter(int Losses, Clock::duration Interval) {
  SharedSuspects Suspects;
  for (int Index = 0; Index < Losses; ++Index) {
    const Clock::duration Sent = Start + Interval * Index;
    Suspects.add({"f", "s" + std::to_string(Index), Sent, Sent + 20ms});
  }
  return Suspects;
}

} // namespace

// Guards against refusing a request that ran several times in a failed zone.
TEST_CASE("Losses at one moment do not block a request") {
  CHECK(suspectsAfter(6, 0ms).blockedFor("f", Start + 1s) == 0ms);
  // Sent again to servers that failed in the same event.
  CHECK(suspectsAfter(6, 10ms).blockedFor("f", Start + 1s) == 0ms);
  CHECK(suspectsAfter(1, 1s).blockedFor("f", Start + 2s) == 0ms);
}

// Guards against a request that goes on to crash servers.
TEST_CASE("A request that returns and is lost with another server is "
          "blocked") {
  const SharedSuspects Suspects = suspectsAfter(2, 1s);
  const Clock::duration LastLoss = Start + 1s + 20ms;
  CHECK(Suspects.blockedFor("f", LastLoss) == SharedSuspects::SuspicionPeriod);
  CHECK(Suspects.blockedFor("g", LastLoss) == 0ms);
  const Clock::duration End = LastLoss + SharedSuspects::SuspicionPeriod;
  CHECK(Suspects.blockedFor("f", End - 1s) == 1s);
  CHECK(Suspects.blockedFor("f", End) == 0ms);
  CHECK(Suspects.expired(End - 1s).empty());
  CHECK(Suspects.expired(End).size() == 2);
}

// Guards against one crash that counts for each instance that reports it.
TEST_CASE("Losses with the same run of a server count once") {
  SharedSuspects Suspects;
  for (int Index = 0; Index < 4; ++Index)
    Suspects.add({"f", "s", Start + 1s * Index, Start + 1s * Index});
  CHECK(Suspects.blockedFor("f", Start + 5s) == 0ms);
  CHECK(Suspects.observationsOf("f").size() == 1);
}

// Guards against unbounded memory use when many requests are lost.
TEST_CASE("The number of suspects is bounded and the newest are kept") {
  SharedSuspects Suspects;
  const int Count = int(SharedSuspects::MaxFingerprints) + 10;
  for (int Index = 0; Index < Count; ++Index)
    Suspects.add(
        {"f" + std::to_string(Index), "s", Start, Start + 1ms * Index});
  CHECK(Suspects.size() == SharedSuspects::MaxFingerprints);
  CHECK(Suspects.isSuspect("f" + std::to_string(Count - 1)));
  CHECK_FALSE(Suspects.isSuspect("f0"));
}

// Guards against an answer that clears a request which was lost later.
TEST_CASE(
    "Only answers after a loss was sent prove that a request is harmless") {
  const Clock::time_point Answered{1000s};
  RecentAnswers Answers;
  Answers.add("f", Answered);
  CHECK(Answers.answeredSince("f", Answered - 1ms));
  CHECK_FALSE(Answers.answeredSince("f", Answered));
  CHECK_FALSE(Answers.answeredSince("g", Answered - 1ms));
  // Later answers keep a request that is answered again.
  Answers.add("f", Answered + 5s);
  Answers.add("g", Answered + 7s);
  CHECK(Answers.answeredSince("f", Answered));
  Answers.add("g", Answered + 12s);
  CHECK_FALSE(Answers.answeredSince("f", Answered));
  for (int Index = 0; Index < 10000; ++Index)
    Answers.add(std::to_string(Index), Answered + 12s);
  CHECK_FALSE(Answers.answeredSince("g", Answered));
}
