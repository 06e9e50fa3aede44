#include "gateway/MemberCodec.h"
#include "gateway/TwoServerBed.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

using Bed = TwoServerBed;

// Guards against a rate share that is used twice: by an instance whose row has
// expired, and by the instances that took over its share.
TEST_CASE("An instance that cannot renew its row stops using its rate shares "
          "before the other instances take them over",
          "[tenure]") {
  Bed B;
  B.start();
  B.configure(2, {"key"}, 100);
  B.advance(2s);
  CHECK(hasStatus(B.request("GET", "/safe/x"), 200));
  B.Tables.RefuseWrites = true;
  B.advance(5s);
  CHECK_FALSE(B.Instance->isReady());
  CHECK(hasStatus(B.request("GET", "/safe/x"), 503));
  CHECK(hasStatus(B.request("GET", "/open/x"), 200));
  B.Tables.RefuseWrites = false;
  B.advance(3s);
  CHECK(B.Instance->isReady());
}

// Guards against callers that are sent to a new instance before the others have
// reserved a rate share for it.
TEST_CASE("A new instance beside active ones is ready once they reserve a "
          "rate share for it",
          "[tenure]") {
  Bed B;
  const auto PutOther = [&B] {
    MemberRecord Other;
    Other.Name = "other";
    Other.Zone = "z-a";
    Other.Region = "z";
    Other.Address = "127.0.0.1:1";
    Other.WrittenAt = Clock::now().time_since_epoch();
    B.Tables.put("redwingrack", "instance/other", encodeMember(Other));
  };
  PutOther();
  B.start();
  B.advance(500ms);
  const std::string *Row = B.Tables.find("redwingrack", "instance/i0");
  REQUIRE(Row);
  CHECK(decodeMember(*Row)->Joining);
  CHECK_FALSE(B.Instance->isReady());
  PutOther();
  B.advance(2200ms);
  Row = B.Tables.find("redwingrack", "instance/i0");
  CHECK_FALSE(decodeMember(*Row)->Joining);
  CHECK(B.Instance->isReady());
}

// Guards against a rolling upgrade in which instances of the new version ignore
// those of the old one and divide the rates only among themselves.
TEST_CASE("A row of an earlier version of the program is accepted",
          "[tenure]") {
  const auto Record = decodeMember(
      R"({"name":"old","incarnation":"a","address":"127.0.0.1:1","zone":"z-a",
          "region":"z","lookups":"","capacity":0.2,"standby":false,
          "written_at":12.5,"leaving":false,"demand":{"w":3},"rollouts":{}})");
  REQUIRE(Record);
  CHECK(Record->PeerAddress.empty());
  CHECK_FALSE(Record->Joining);
  CHECK(Record->StoreContactSince == Clock::duration{0});
  CHECK(decodeMember(encodeMember(*Record))->Demand.at("w") == 3);
  CHECK_FALSE(decodeMember("{}"));
}
