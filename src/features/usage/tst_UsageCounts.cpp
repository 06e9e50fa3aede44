#include "peerlink/MessageBody.h"
#include "usage/ClockCorrection.h"
#include "usage/StartEstimate.h"
#include "usage/UsageClock.h"
#include "usage/UsageCounter.h"
#include "usage/UsageSums.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

struct PausedClock {
  PausedClock() { Clock::pause(); }
  ~PausedClock() { Clock::resume(); }
};

UsageCountsMessage message(const std::string &Name, const std::string &Run,
                           std::uint64_t Sequence, UsageWindow Window,
                           std::uint64_t Count) {
  UsageCountsMessage Message;
  Message.Name = Name;
  Message.Incarnation = Run;
  Message.Sequence = Sequence;
  Message.FirstWindow = 5;
  Message.Windows[Window] = {{"w", Count}};
  return Message;
}

} // namespace

// Guards against counts in a neighbouring window.
TEST_CASE("A request counts in the window in which it started", "[usage]") {
  const PausedClock Paused;
  const TrueTime Time = windowStart(100, 5s) + 1s;
  UsageCounter Counter(5s, [Time] { return Time; });
  const Clock::time_point Now = Clock::now();
  Counter.record("w", Now);
  Counter.record("w", Now - 999ms);
  Counter.record("v", Now - 1001ms);
  CHECK(Counter.firstWindow() == 100);
  const auto All = Counter.changedSince(0);
  CHECK(All.at(100) == UsageCounts{{"w", 2}});
  CHECK(All.at(99) == UsageCounts{{"v", 1}});
  CHECK(Counter.changedSince(2).size() == 1);
  CHECK(Counter.changedSince(Counter.lastChange()).empty());
}

// Guards against counts that change after they may have been reported.
TEST_CASE("The counts of a closed window stay as they are", "[usage]") {
  const PausedClock Paused;
  const TrueTime Time = windowStart(100, 5s) + 1s;
  UsageCounter Counter(5s, [Time] { return Time; });
  Counter.record("w", Clock::now() - 2s);
  Counter.closeThrough(99);
  Counter.record("w", Clock::now() - 2s);
  Counter.record("w", Clock::now());
  CHECK(Counter.changedSince(0).at(99) == UsageCounts{{"w", 1}});
  CHECK(Counter.lateRequests() == 1);
  Counter.removeThrough(99);
  CHECK(Counter.changedSince(0).size() == 1);
}

// Guards against counts that are added twice.
TEST_CASE("A repeated message replaces earlier totals", "[usage]") {
  UsageSums Sums;
  Sums.apply(message("a", "r1", 1, 7, 10));
  Sums.apply(message("a", "r1", 2, 7, 12));
  Sums.apply(message("a", "r1", 2, 7, 12));
  Sums.apply(message("a", "r1", 1, 7, 10));
  Sums.apply(message("b", "r1", 1, 7, 5));
  CHECK(Sums.total(7) == UsageCounts{{"w", 17}});
  // Another run of the same instance counts besides the earlier one.
  Sums.apply(message("a", "r2", 1, 7, 1));
  CHECK(Sums.total(7) == UsageCounts{{"w", 18}});
  CHECK(Sums.total(8).empty());
}

TEST_CASE("The sums tell which instances are missing and which windows were "
          "counted in full",
          "[usage]") {
  UsageSums Sums;
  Sums.apply(message("a", "r1", 1, 7, 10));
  CHECK(Sums.silent({"a", "b"}) == std::vector<std::string>{"b"});
  CHECK_FALSE(Sums.isCovered(5));
  CHECK(Sums.isCovered(6));
  Sums.removeThrough(7);
  CHECK(Sums.total(7).empty());
}

TEST_CASE("Messages survive the way to the holder and back", "[usage]") {
  UsageCountsMessage Message = message("a", "r1", 3, 7, 10);
  Message.SentAt = TrueTime(1700000000123ms);
  const auto Read = decodeCountsMessage(encodeCountsMessage(Message));
  REQUIRE(Read);
  CHECK(Read->Name == "a");
  CHECK(Read->Sequence == 3);
  CHECK(Read->FirstWindow == 5);
  CHECK(Read->SentAt == Message.SentAt);
  CHECK(Read->Windows == Message.Windows);
  UsageCountsAnswer Answer;
  Answer.Lease.Holder = "h";
  Answer.Lease.Token = 4;
  Answer.LeaseVersion = {2, 99};
  Answer.Lease.Era = 2;
  Answer.ClosedThrough = 6;
  Answer.Time = Message.SentAt;
  CHECK_FALSE(decodeCountsAnswer(encodeCountsAnswer(Answer))->OwnCounts);
  Answer.OwnCounts = Message;
  const auto Back = decodeCountsAnswer(encodeCountsAnswer(Answer));
  REQUIRE(Back);
  CHECK(Back->Lease == Answer.Lease);
  CHECK(Back->LeaseVersion == StoreVersion(2, 99));
  CHECK(Back->ClosedThrough == 6);
  CHECK(Back->Time == Answer.Time);
  REQUIRE(Back->OwnCounts);
  CHECK(Back->OwnCounts->Windows == Message.Windows);
  const std::string Good = encodeCountsMessage(Message);
  for (std::size_t Size = 0; Size < Good.size(); ++Size)
    CHECK_FALSE(decodeCountsMessage(Good.substr(0, Size)));
  CHECK_FALSE(decodeCountsAnswer(Good));
}

// Guards against messages that grow beyond what docs/CAPACITY.md counts with.
TEST_CASE("A message has a few bytes for each workspace and window",
          "[usage]") {
  UsageCountsMessage Message =
      message("frontend-bkk-b-12", "0123abcd", 300, 353445120, 412);
  Message.SentAt = TrueTime(1767225600123ms);
  Message.Windows.clear();
  const std::size_t Empty = encodeCountsMessage(Message).size();
  for (UsageWindow Window = 353445120; Window < 353445122; ++Window)
    for (int Index = 100; Index < 140; ++Index)
      Message.Windows[Window]["yefi" + std::to_string(Index)] = 412;
  const std::size_t Full = encodeCountsMessage(Message).size();
  UsageCountsAnswer Answer;
  Answer.Lease.Holder = Message.Name;
  Answer.Lease.Incarnation = Message.Incarnation;
  Answer.Lease.PeerAddress = "10.1.0.23:8390";
  Answer.Lease.Token = 1'000'000;
  Answer.LeaseVersion = {12, 1'000'000};
  Answer.Lease.First = Answer.Lease.Done = Answer.ClosedThrough = 353445120;
  Answer.Lease.Renewals = 80'000;
  Answer.Time = Message.SentAt;
  const std::size_t Reply = encodeCountsAnswer(Answer).size();
  CAPTURE(Empty, Full, Reply);
  CHECK(Empty < 64);
  CHECK(Full < Empty + 80 * 12 + 32);
  CHECK(Reply < 256);
}

// Guards against requests that a server never began to run.
TEST_CASE("An attempt without an answer counts from its estimated start on",
          "[usage]") {
  const Clock::time_point Start(100s);
  SentAttempt Attempt{Start, Start + 1s, 20ms, 300ms, false};
  CHECK(estimatedStart(Attempt) == Start + 310ms);
  Attempt.EndedAt = Start + 309ms;
  CHECK_FALSE(estimatedStart(Attempt));
  Attempt.Answered = true;
  CHECK(estimatedStart(Attempt) == Start + 309ms);
}

TEST_CASE("A clock is corrected if most others agree on another time",
          "[usage]") {
  CHECK(clockCorrection({}) == 0s);
  CHECK(clockCorrection({30s}) == 0s);
  CHECK(clockCorrection({30s, 30s}) == 30s);
  CHECK(clockCorrection({30s, 10ms}) == 0s);
  CHECK(clockCorrection({30s, 10ms, 0s}) == 0s);
  CHECK(clockCorrection({-30s, -30s, -29s, 0s}) == -29s);
}

// Guards against windows that are closed early because the clock was set.
TEST_CASE("A step of the system clock is followed only after it lasted",
          "[usage]") {
  const PausedClock Paused;
  Clock::duration Error{0};
  UsageClock Time([&Error] { return trueTime() + Error; });
  Error = 30s;
  CHECK_FALSE(Time.update());
  CHECK(Time.now() == trueTime());
  Clock::advance(2900ms);
  CHECK_FALSE(Time.update());
  // The other instances disagree.
  Time.setCorrection(-30s);
  Clock::advance(5s);
  CHECK_FALSE(Time.update());
  CHECK(Time.now() == trueTime());
  // They agree.
  Time.setCorrection(0s);
  CHECK_FALSE(Time.update());
  Clock::advance(3s);
  CHECK(Time.update());
  CHECK(Time.now() == trueTime() + 30s);
}

// Guards against requests in wrong windows at an instance whose clock is wrong
// and that had nothing to count for a while.
TEST_CASE("A correction that the holder found takes effect at once",
          "[usage]") {
  const PausedClock Paused;
  UsageClock Time([] { return trueTime() + 30s; });
  Time.adoptCorrection(0s);
  CHECK(Time.now() == trueTime() + 30s);
  Time.adoptCorrection(-30s);
  CHECK(Time.now() == trueTime());
  CHECK_FALSE(Time.update());
}

// Guards against instances of an earlier release that refuse the holder's
// answers, so that it does not get their counts during an upgrade.
TEST_CASE("The era of the lease is told in a form that earlier releases accept",
          "[usage][restore]") {
  UsageCountsAnswer Answer;
  Answer.Lease.Holder = "h";
  Answer.Lease.Token = 4;
  Answer.Lease.Era = 2;
  Answer.LeaseVersion = {2, 99};
  Answer.ClosedThrough = 6;
  Answer.Time = TrueTime(1700000000123ms);
  // Earlier releases accept exactly text, three numbers and a list, and ignore
  // further names in the row.
  const auto Value = decodeBody(encodeCountsAnswer(Answer));
  REQUIRE(Value);
  REQUIRE(Value->size() == 5);
  CHECK((*Value)[0].is_string());
  for (const int Index : {1, 2, 3})
    CHECK((*Value)[std::size_t(Index)].is_number_unsigned());
  CHECK((*Value)[4].is_array());
  CHECK(decodeCountsAnswer(encodeCountsAnswer(Answer))->LeaseVersion ==
        StoreVersion(2, 99));
  // The answer of an earlier release.
  Answer.LeaseVersion.Era = Answer.Lease.Era = 0;
  CHECK(encodeLeaseRow(Answer.Lease).find("era") == std::string::npos);
  CHECK(decodeCountsAnswer(encodeCountsAnswer(Answer))->LeaseVersion ==
        StoreVersion(0, 99));
}
