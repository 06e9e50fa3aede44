#include "gateway/SuspectRow.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const CrashObservation Observed{"0123456789abcdef0123456789abcdef", "77", 12s,
                                12500ms};

} // namespace

// Guards against observations that the other instances cannot read.
TEST_CASE("A row holds the whole observation", "[gateway]") {
  const TableWrite Write = makeSuspectRow("t", Observed);
  CHECK(Write.Key.size() <= 200);
  CHECK(isSuspectKey(Write.Key));
  const auto Read = decodeSuspectRow({Write.Key, Write.Value, {0, 1}, false});
  REQUIRE(Read);
  CHECK(Read->Fingerprint == Observed.Fingerprint);
  CHECK(Read->ServerRun == Observed.ServerRun);
  CHECK(Read->SentAt == Observed.SentAt);
  CHECK(Read->LostAt == Observed.LostAt);
  const TableWrite Removal = removeSuspectRow("t", Observed, {2, 7});
  CHECK(Removal.Key == Write.Key);
  CHECK(Removal.Remove);
  // A removal that the store executes late must not remove a newer row.
  CHECK(Removal.ExpectedVersion == StoreVersion(2, 7));
  CHECK(decodeSuspectRow({Removal.Key, "", {0, 2}, true}));
}

// Guards against a malformed row that blocks requests or stops the instance.
TEST_CASE("Malformed observations are rejected", "[gateway]") {
  const std::string Key = makeSuspectRow("t", Observed).Key;
  const std::string Value = R"({"sent_at":1,"lost_at":2})";
  CHECK(decodeSuspectRow({Key, Value, {0, 1}, false}));
  for (const char *Broken :
       {"", "[]", "{}", R"({"sent_at":1})", R"({"sent_at":"1","lost_at":2})"})
    CHECK_FALSE(decodeSuspectRow({Key, Broken, {0, 1}, false}));
  const std::string LongRun(100, 'r');
  for (const std::string &Broken :
       {std::string("suspect/"), std::string("suspect/0123"), Key + LongRun,
        Key.substr(0, Key.rfind('/') + 1), "other/" + Key})
    CHECK_FALSE(decodeSuspectRow({Broken, Value, {0, 1}, false}));
}
