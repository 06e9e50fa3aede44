#include "steering/ServerBacklog.h"
#include "steering/ServiceLoad.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

constexpr int Slots = 5;
const UsualLoad Usual{Seconds(0.5), 0.4};

struct Watched {
  Watched() { Clock::pause(); }
  ~Watched() { Clock::resume(); }

  void report(int Running, int Waiting, std::optional<double> Factor = {}) {
    noteReport(this->Backlog, {Running, Waiting, Slots, Factor}, this->Own, 1ms,
               Clock::now());
  }
  BacklogEstimate estimate() const {
    return estimateBacklog(this->Backlog, Slots, this->Own, Usual,
                           Clock::now());
  }
  Seconds wait() const { return this->estimate().Wait; }
  double others() const { return this->estimate().Others; }

  ServerBacklog Backlog;
  int Own = 0;
};

} // namespace

TEST_CASE(
    "A server with a free slot starts a request at once, one with a queue "
    "after it has worked that off",
    "[backlog]") {
  Watched W;
  W.report(3, 0);
  CHECK(W.wait() == Seconds(0));
  W.report(5, 0);
  // One of five running requests has to end.
  CHECK(W.wait().count() == Approx(0.1));
  W.report(5, 10);
  CHECK(W.wait().count() == Approx(1.1));
}

// Guards against taking a server for empty, or full, because of an old report.
TEST_CASE("An old report gives way to the usual load", "[backlog]") {
  Watched W;
  W.report(5, 15);
  Clock::advance(100ms);
  CHECK(W.others() > 18);
  Clock::advance(60s);
  CHECK(W.others() == Approx(0.4 * Slots).margin(0.2));
  CHECK(W.wait() < 50ms);
  W.report(0, 0);
  CHECK(W.others() == 0);
  Clock::advance(60s);
  CHECK(W.others() == Approx(0.4 * Slots).margin(0.2));
}

TEST_CASE("Own requests in a report are not counted twice", "[backlog]") {
  Watched W;
  W.Own = 2;
  W.report(3, 0);
  CHECK(W.others() == 1);
  // The report cannot include a request that was sent within the round trip.
  addRunning(W.Backlog, {0, Clock::now(), Clock::now(), {}});
  W.Own = 3;
  W.report(3, 0);
  CHECK(W.others() == 1);
  Clock::advance(10ms);
  W.report(3, 0);
  CHECK(W.others() == 0);
}

// Guards against queueing behind slots that own heavy requests hold.
TEST_CASE("Own requests that run longer than usual lengthen the wait",
          "[backlog]") {
  const RequestCost Cost{Seconds(0.5), Seconds(0.5), 1, 0.03, 7, 0.15};
  Watched W;
  W.Own = 3;
  for (int Index = 0; Index < 3; ++Index)
    addRunning(W.Backlog, {0, Clock::now(), Clock::now(), Cost});
  Clock::advance(100ms);
  W.report(5, 2);
  const Seconds Before = W.wait();
  Clock::advance(900ms);
  W.report(5, 2);
  CHECK(W.wait() > 2 * Before);
}

TEST_CASE("With all slots held by own heavy requests, the wait is that for the "
          "first of them",
          "[backlog]") {
  const RequestCost Cost{Seconds(0.5), Seconds(0.5), 1, 0.03, 7, 0.15};
  Watched W;
  W.Own = Slots;
  for (int Index = 0; Index < Slots; ++Index)
    addRunning(W.Backlog, {0, Clock::now(), Clock::now(), Cost});
  Clock::advance(1s);
  W.report(5, 0);
  CHECK(W.wait().count() == Approx(2.5));
}

TEST_CASE("Running requests are bounded and removed by their id", "[backlog]") {
  Watched W;
  std::uint64_t Last = 0;
  for (int Index = 0; Index < 100; ++Index)
    Last = addRunning(W.Backlog, {0, Clock::now(), Clock::now(), {}});
  CHECK(W.Backlog.Own.size() == 64);
  removeRunning(W.Backlog, Last);
  removeRunning(W.Backlog, Last);
  CHECK(W.Backlog.Own.size() == 63);
}

TEST_CASE("The reported speed decays to usual with a half-life of 300 ms",
          "[backlog]") {
  Watched W;
  W.report(0, 0, 2.6);
  CHECK(currentWorkFactor(W.Backlog, Clock::now()) == Approx(2.6));
  Clock::advance(300ms);
  CHECK(currentWorkFactor(W.Backlog, Clock::now()) == Approx(1.8));
  // Also if the server stops reporting it.
  W.report(0, 0);
  Clock::advance(3s);
  CHECK(currentWorkFactor(W.Backlog, Clock::now()) == Approx(1).margin(0.01));
}

TEST_CASE("A slow phase slows only the work that it covers", "[backlog]") {
  CHECK(slowedWork(Seconds(0.1), 2).count() == Approx(0.2));
  CHECK(slowedWork(Seconds(10), 2.5).count() == Approx(10.26).margin(0.01));
  CHECK(slowedWork(Seconds(1), 0.5).count() == Approx(0.5));
  for (const double Work : {0.05, 0.2, 1.0, 5.0})
    CHECK(usualWork(slowedWork(Seconds(Work), 2.5), 2.5).count() ==
          Approx(Work));
}

TEST_CASE("A refusal without a report counts as a full queue", "[backlog]") {
  Watched W;
  noteFull(W.Backlog, Slots, Clock::now());
  CHECK(W.others() == 4 * Slots);
}

TEST_CASE("A server that is slow for long is known as slow for some time",
          "[backlog]") {
  Watched W;
  for (int Index = 0; Index < 100; ++Index)
    noteWorkRatio(W.Backlog, 1.8 / lastingSlowness(W.Backlog, Clock::now()),
                  Clock::now());
  CHECK(lastingSlowness(W.Backlog, Clock::now()) == Approx(1.8).margin(0.1));
  Clock::advance(60s);
  CHECK(lastingSlowness(W.Backlog, Clock::now()) == Approx(1).margin(0.01));
}

TEST_CASE("A service counts as reporting the speed until many reports in a row "
          "have none",
          "[backlog]") {
  ServiceLoad Load;
  noteServiceReport(Load, {1, 0, Slots, {}}, 1, Slots, Clock::now());
  CHECK_FALSE(reportsWorkFactor(Load));
  noteServiceReport(Load, {1, 0, Slots, 1.0}, 1, Slots, Clock::now());
  CHECK(reportsWorkFactor(Load));
  for (int Index = 0; Index < 63; ++Index)
    noteServiceReport(Load, {1, 0, Slots, {}}, 1, Slots, Clock::now());
  CHECK(reportsWorkFactor(Load));
  noteServiceReport(Load, {1, 0, Slots, {}}, 1, Slots, Clock::now());
  CHECK_FALSE(reportsWorkFactor(Load));
}
