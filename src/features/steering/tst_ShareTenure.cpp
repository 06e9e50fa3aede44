#include "steering/MemberView.h"
#include "steering/ShareTenure.h"

#include "steering/SteeringTestBed.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const Clock::time_point T0{100s};

} // namespace

TEST_CASE("A tenure ends before the others forget the row", "[tenure]") {
  ShareTenure Tenure;
  CHECK_FALSE(Tenure.holds(T0));
  Tenure.noteWritten(T0, T0 + 100ms, false);
  CHECK(Tenure.holds(T0 + 100ms));
  CHECK_FALSE(Tenure.holds(T0 + MemberView::LiveTime));
}

TEST_CASE("An instance that was dropped waits until its new row was read",
          "[tenure]") {
  ShareTenure Tenure;
  Tenure.noteWritten(T0, T0, true);
  CHECK_FALSE(Tenure.holds(T0 + 2s));
  // A further row in the meantime does not begin the wait again.
  Tenure.noteWritten(T0 + 2s, T0 + 2s, true);
  CHECK(Tenure.holds(T0 + 2300ms));
}

TEST_CASE("A restarted instance goes on under the row of its earlier run",
          "[tenure]") {
  ShareTenure Tenure;
  Tenure.noteFound(3s, T0);
  CHECK(Tenure.holds(T0 + 1s));
  CHECK_FALSE(Tenure.holds(T0 + 2s));
  ShareTenure Late;
  Late.noteFound(20s, T0);
  CHECK_FALSE(Late.holds(T0));
}

TEST_CASE("An instance is dropped only by those that read without a gap",
          "[tenure]") {
  MemberView View("a");
  View.noteRead(100s, true);
  MemberRecord Other = testMember("b", "s-a", 99s);
  Other.ContactSince = 99s;
  View.apply(Other);
  CHECK_FALSE(View.hasDroppedSelf());
  Other.ContactSince = 50s;
  View.apply(Other);
  CHECK(View.hasDroppedSelf());
  Other.Standby = true;
  View.apply(Other);
  CHECK_FALSE(View.hasDroppedSelf());
}

TEST_CASE("After an outage nobody's part is taken before all could write again",
          "[tenure]") {
  MemberView View("a");
  View.noteRead(100s, false);
  View.apply(testMember("a", "s-a", 100s));
  View.apply(testMember("b", "s-a", 100s));
  CHECK(View.holders() == 2);
  View.setStoreTime(110s);
  CHECK(View.holders() == 2);
  View.noteRead(111s, true);
  CHECK(View.holders() == 2);
  CHECK(View.rateShare("w") <= 0.5);
  View.noteRead(118s, false);
  CHECK(View.holders() == 1);
}

// Guards against small instances that all go into service, and divide the
// rates among themselves, when everything starts again at once.
TEST_CASE("When all start again, small instances expect the large ones back",
          "[members]") {
  MemberView View("small");
  MemberRecord Small = testMember("small", "s-a", 100s);
  Small.Capacity = 0.1;
  for (const char *Name : {"large1", "large2"}) {
    MemberRecord Large = testMember(Name, "s-a", 85s);
    Large.Capacity = 0.5;
    View.apply(Large);
  }
  View.noteRead(100s, true);
  CHECK_FALSE(View.isActive(Small));
  CHECK(View.addressesFor("s-a", "s", {}, 64).empty());
  // They do not come back.
  View.noteRead(107s, false);
  CHECK(View.isActive(Small));
}
