#include "limits/ShareAdmission.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start{};
const ShareHolder A{"a", 1};
const ShareHolder B{"b", 1};
constexpr MicroRequests TenRequests = 10 * OneRequest;

/// Instance A with a rate of 10/s, a burst of one and an empty bucket, and B,
/// which reports ten tokens.
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

// Requests must not be refused while another instance has tokens, cause more
// than one outstanding borrow, or wait for an answer that was lost.
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
  // A burst of ten has one primary holder, so the capacity is returned after
  // use.
  REQUIRE(Second.GrantsToReturn.size() == 1);
  CHECK(Second.GrantsToReturn[0].Amount == ShareAmount{0, TenRequests, 0});
}

// Requests must not wait if no token can become available in time, and must not
// be refused if one accrues in time.
TEST_CASE("Requests wait only if a token can become available in time") {
  Fixture Test;
  CHECK(Test.Admission.submit("w", 1, Start).Refused.empty());
  const auto Actions = Test.Admission.submit("w", 2, Start);
  REQUIRE(Actions.Refused.size() == 1);
  CHECK(Actions.Refused[0] ==
        std::pair(std::uint64_t{2}, make_error_code(Errc::LimitReached)));
  CHECK(Test.Admission.nextWake(Start) == Start + 100ms);
  CHECK(Test.Admission.wake(Start + 100ms).Admitted.size() == 1);
}

// The queue must be bounded, and requests must not wait for a token at an
// instance whose bucket cannot hold one.
TEST_CASE("Requests wait only if the queue and the bucket have room") {
  Fixture Test;
  Test.reportTokens();
  for (std::uint64_t Id = 0; Id < ShareAdmission::MaxWaitingRequests; ++Id)
    REQUIRE(Test.Admission.submit("w", Id, Start).Refused.empty());
  CHECK(Test.Admission.submit("w", 999, Start).Refused.size() == 1);
  Fixture Small;
  REQUIRE(Small.Ledger.release({A, B, 1, "w", {0, OneRequest, 0}, {}}, Start));
  CHECK(Small.Admission.submit("w", 1, Start).Refused.size() == 1);
}

// Requests must not wait forever if the answer is lost, and waiting requests
// must not be admitted after the freshness proof has expired.
TEST_CASE("Requests stop waiting at their deadline or when the proof expires") {
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
