#include "steering/MemberView.h"
#include "steering/ShareEligibility.h"

#include "steering/SteeringTestBed.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const Clock::time_point T0{100s};

} // namespace

TEST_CASE(
    "Eligibility for a share ends before the other instances expire the row",
    "[tenure]") {
  ShareEligibility Eligibility;
  CHECK_FALSE(Eligibility.mayUseShare(T0));
  Eligibility.recordWrite(T0, T0 + 100ms, false);
  CHECK(Eligibility.mayUseShare(T0 + 100ms));
  CHECK_FALSE(Eligibility.mayUseShare(T0 + MemberView::RecordLifetime));
}

TEST_CASE("An instance whose row has expired waits until its new row was read",
          "[tenure]") {
  ShareEligibility Eligibility;
  Eligibility.recordWrite(T0, T0, true);
  CHECK_FALSE(Eligibility.mayUseShare(T0 + 2s));
  // Another write in the meantime does not restart the wait.
  Eligibility.recordWrite(T0 + 2s, T0 + 2s, true);
  CHECK(Eligibility.mayUseShare(T0 + 2300ms));
}

TEST_CASE(
    "A restarted instance stays eligible under the row of its earlier run",
    "[tenure]") {
  ShareEligibility Eligibility;
  Eligibility.recordExistingRow(3s, T0);
  CHECK(Eligibility.mayUseShare(T0 + 1s));
  CHECK_FALSE(Eligibility.mayUseShare(T0 + 2s));
  ShareEligibility Late;
  Late.recordExistingRow(20s, T0);
  CHECK_FALSE(Late.mayUseShare(T0));
}

TEST_CASE("An instance is forgotten only by those that read without a gap",
          "[tenure]") {
  MemberView View("a");
  View.recordRead(100s, true);
  MemberRecord Other = testMember("b", "s-a", 99s);
  Other.StoreContactSince = 99s;
  View.apply(Other);
  CHECK_FALSE(View.isForgottenByOthers());
  Other.StoreContactSince = 50s;
  View.apply(Other);
  CHECK(View.isForgottenByOthers());
  Other.Standby = true;
  View.apply(Other);
  CHECK_FALSE(View.isForgottenByOthers());
}

TEST_CASE("After an outage no share is redistributed before all instances "
          "could write again",
          "[tenure]") {
  MemberView View("a");
  View.recordRead(100s, false);
  View.apply(testMember("a", "s-a", 100s));
  View.apply(testMember("b", "s-a", 100s));
  CHECK(View.shareHolderCount() == 2);
  View.setStoreTime(110s);
  CHECK(View.shareHolderCount() == 2);
  View.recordRead(111s, true);
  CHECK(View.shareHolderCount() == 2);
  CHECK(View.rateShare("w") <= 0.5);
  View.recordRead(118s, false);
  CHECK(View.shareHolderCount() == 1);
}

// Guards against small instances that all become active and divide the rates
// among themselves when the whole fleet restarts at once.
TEST_CASE(
    "After a restart of the fleet, small instances wait for the large ones",
    "[members]") {
  MemberView View("small");
  MemberRecord Small = testMember("small", "s-a", 100s);
  Small.Capacity = 0.1;
  for (const char *Name : {"large1", "large2"}) {
    MemberRecord Large = testMember(Name, "s-a", 85s);
    Large.Capacity = 0.5;
    View.apply(Large);
  }
  View.recordRead(100s, true);
  CHECK_FALSE(View.isActive(Small));
  CHECK(View.addressesFor("s-a", "s", {}, 64).empty());
  // The large instances have not renewed their records.
  View.recordRead(107s, false);
  CHECK(View.isActive(Small));
}
