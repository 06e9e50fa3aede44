#include "gateway/MemberCodec.h"
#include "gateway/TwoServerBed.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// An instance in service whose store comes back from a copy. The
/// configuration 5 was written after the copy.
struct RestoredInstance : TwoServerBed {
  RestoredInstance() {
    // A reader that asks again at once would never let the clock advance.
    this->Tables.ReadTime = 10ms;
    this->start();
    this->advance(2s);
    this->BeforeLoss = this->Tables.copy();
    this->configure(5, {"key", "old"});
    this->advance(4s);
  }
  void restore() {
    this->Tables.Down = true;
    this->advance(400ms);
    this->Tables.restore(*this->BeforeLoss);
    this->Tables.Down = false;
  }

  std::shared_ptr<const FakeTables::Copy> BeforeLoss;
};

/// Within which a configuration must be in force.
constexpr Clock::duration ConfigurationTime = 2500ms;
/// Within which a key that was taken away must be refused.
constexpr Clock::duration RevocationTime = 5s;

} // namespace

TEST_CASE("A configuration that is written after the store came back from an "
          "older copy is in force in time",
          "[restore]") {
  RestoredInstance B;
  B.restore();
  B.advance(500ms);
  B.configure(7, {"key", "new"});
  B.advance(ConfigurationTime);
  CHECK(hasStatus(B.request("GET", "/safe/x", "new"), 200));
  B.advance(RevocationTime - ConfigurationTime);
  CHECK(hasStatus(B.request("GET", "/safe/x", "old"), 401));
}

TEST_CASE("A configuration that is written under a version which the store "
          "gives out again is in force in time",
          "[restore]") {
  RestoredInstance B;
  B.restore();
  B.configure(7, {"key", "new"});
  for (int Item = 0; Item < 100; ++Item)
    B.Tables.put("other", "row", std::to_string(Item));
  B.advance(ConfigurationTime);
  CHECK(hasStatus(B.request("GET", "/safe/x", "new"), 200));
}

TEST_CASE("A configuration in force stays in force while the store has only "
          "an older one",
          "[restore]") {
  RestoredInstance B;
  REQUIRE(hasStatus(B.request("GET", "/safe/x", "old"), 200));
  B.restore();
  B.advance(4s);
  CHECK(hasStatus(B.request("GET", "/safe/x", "old"), 200));
}

TEST_CASE("An instance writes its row after the store came back from an older "
          "copy",
          "[restore]") {
  RestoredInstance B;
  B.restore();
  const auto Written = [&B] {
    return decodeMember(*B.Tables.find(MemberRegistry::Table, "instance/i0"))
        ->WrittenAt;
  };
  const Clock::duration Restored = Written();
  B.advance(4s);
  CHECK(Written() > Restored);
}
