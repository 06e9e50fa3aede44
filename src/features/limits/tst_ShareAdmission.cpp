#include "limits/ShareAdmission.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start{};
const ShareHolder A{"a", 1};
const ShareHolder B{"b", 1};
constexpr MicroRequests TenRequests = 10 * OneRequest;

/// Instance A with a rate of 10/s, a burst of one and an empty bucket, next to
/// B, which reports ten tokens.
struct Fixture {
  Fixture() {
    ShareAllocation Row;
    Row.Epoch = 1;
    Row.Holders = {A, B};
    Row.Workspaces["w"] = {{TenRequests, TenRequests, 0},
                           {{A, {TenRequests, OneRequest, 0}}}};
    REQUIRE(this->Ledger.adopt(Row, Start));
    this->Ledger.confirmBarrier(1, Start);
    this->Ledger.renewProof(1, Start + 3s, Start);
  }

  void reportTokens() {
    this->Planner.update(
        {B, "z", "r", 1, {{"w", {0, TenRequests, TenRequests}, 0}}}, Start);
  }

  ShareLedger Ledger{A, Start};
  DemandMeter Meter;
  BorrowPlanner Planner{A, "r"};
  ShareAdmission Admission{this->Ledger, this->Meter, this->Planner};
};

} // namespace

// Guards against refusals while another instance has tokens, against more than
// one request at a time for them, and against waiting for a lost answer.
TEST_CASE("Requests wait for borrowed tokens before they are refused") {
  Fixture Test;
  Test.reportTokens();
  const auto First = Test.Admission.submit("w", 1, Start);
  CHECK(First.Refused.empty());
  REQUIRE(First.BorrowRequests.size() == 1);
  CHECK(First.BorrowRequests[0].Lender == B);
  CHECK(Test.Admission.submit("w", 2, Start).BorrowRequests.empty());
  CHECK(Test.Admission.isWaitingForTokens("w"));
  const auto Second = Test.Admission.receive(
      {B, A, 1, 1, "w", {0, TenRequests, 2 * OneRequest}, true}, Start);
  CHECK(Second.Admitted == std::vector<std::uint64_t>{1, 2});
  CHECK_FALSE(Test.Admission.nextWake(Start));
  // A burst of ten has one home, so the capacity goes back after use.
  REQUIRE(Second.GrantsToReturn.size() == 1);
  CHECK(Second.GrantsToReturn[0].Amount == ShareAmount{0, TenRequests, 0});
}

// Guards against requests that wait although no token can come in time, and
// that are refused although one accrues in time.
TEST_CASE("Only requests that a token can reach in time wait") {
  Fixture Test;
  CHECK(Test.Admission.submit("w", 1, Start).Refused.empty());
  const auto Actions = Test.Admission.submit("w", 2, Start);
  REQUIRE(Actions.Refused.size() == 1);
  CHECK(Actions.Refused[0] ==
        std::pair(std::uint64_t{2}, make_error_code(Errc::LimitReached)));
  CHECK(Test.Admission.nextWake(Start) == Start + 100ms);
  CHECK(Test.Admission.wake(Start + 100ms).Admitted.size() == 1);
}

// Guards against queues without bound, and against waiting for a token at an
// instance whose bucket cannot hold one.
TEST_CASE("WaitingRequest needs room in the queue and in the bucket") {
  Fixture Test;
  Test.reportTokens();
  for (std::uint64_t Id = 0; Id < ShareAdmission::MaxWaitingRequests; ++Id)
    REQUIRE(Test.Admission.submit("w", Id, Start).Refused.empty());
  CHECK(Test.Admission.submit("w", 999, Start).Refused.size() == 1);
  Fixture Small;
  REQUIRE(Small.Ledger.release({A, B, 1, "w", {0, OneRequest, 0}, {}}, Start));
  CHECK(Small.Admission.submit("w", 1, Start).Refused.size() == 1);
}

// Guards against requests that wait for ever when the answer is lost, and
// against admissions of those that wait after the proof lapsed.
TEST_CASE("WaitingRequest ends at its deadline or with the proof") {
  Fixture Test;
  Test.reportTokens();
  Test.Ledger.release({A, B, 1, "w", {TenRequests, 0, 0}, {}}, Start);
  Test.Admission.submit("w", 1, Start);
  CHECK(Test.Admission.nextWake(Start) ==
        Start + ShareAdmission::BorrowTimeout);
  CHECK(Test.Admission.wake(Start + 100ms).BorrowRequests.size() == 1);
  CHECK(Test.Admission.wake(Start + 150ms).Refused.size() == 1);
  Test.Admission.submit("w", 2, Start + 2900ms);
  const auto Actions = Test.Admission.wake(Start + 3s);
  REQUIRE(Actions.Refused.size() == 1);
  CHECK(Actions.Refused[0].second == Errc::Stale);
}
