#include "steering/MemberView.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace rr;
using namespace std::chrono_literals;

namespace {

using Addresses = std::vector<std::string>;

/// Large instances l1 and l2 and small ones s1 and s2 in zone z-a, large ones
/// m1 and m2 in zone z-b of the same region, and f1 in another region.
struct ViewBed {
  ViewBed() {
    for (const char *Name : {"l1", "l2", "s1", "s2"})
      this->put(Name, "z-a", "z");
    for (const char *Name : {"m1", "m2"})
      this->put(Name, "z-b", "z");
    this->put("f1", "y-a", "y");
    this->View.recordRead(100s, true);
  }

  void put(const std::string &Name, const std::string &Zone,
           const std::string &Region) {
    MemberRecord Record;
    Record.Name = Record.Address = Name;
    Record.Incarnation = "1";
    Record.Zone = Zone;
    Record.Region = Region;
    Record.Capacity = Name[0] == 's' ? 0.1 : 0.5;
    Record.Standby = Name[0] == 's';
    Record.WrittenAt = 100s;
    this->View.apply(Record);
  }
  void change(const std::string &Name,
              const std::function<void(MemberRecord &)> &Change) {
    MemberRecord Record = this->View.records().at(Name);
    Change(Record);
    this->View.apply(Record);
  }
  void overload(const std::string &Name) {
    this->change(Name, [](MemberRecord &Record) { Record.Distressed = 99s; });
  }
  void enterService(const std::string &Name) {
    this->change(Name, [](MemberRecord &Record) { Record.Standby = false; });
  }
  Addresses lookUp() const {
    Addresses Result = this->View.addressesFor("z-a", "z", {}, 64);
    std::sort(Result.begin(), Result.end());
    return Result;
  }

  /// The view of l1.
  MemberView View{"l1"};
};

} // namespace

// Guards against callers that are sent to an instance that cannot take them.
TEST_CASE("A look-up leaves an overloaded instance out", "[overload]") {
  ViewBed Bed;
  REQUIRE(Bed.lookUp() == Addresses{"l1", "l2"});
  Bed.overload("l2");
  CHECK(Bed.lookUp() == Addresses{"l1", "m1", "m2"});
  Bed.overload("l1");
  CHECK(Bed.lookUp() == Addresses{"m1", "m2"});
}

TEST_CASE("Small instances that went into service are named while an instance "
          "of their zone is overloaded",
          "[overload]") {
  ViewBed Bed;
  Bed.enterService("s1");
  CHECK(Bed.lookUp() == Addresses{"l1", "l2"});
  Bed.overload("l2");
  CHECK(Bed.lookUp() == Addresses{"l1", "s1"});
  Bed.overload("l1");
  Bed.enterService("s2");
  CHECK(Bed.lookUp() == Addresses{"s1", "s2"});
}

// Guards against look-ups that name nobody, or only distant instances, when the
// overload is everywhere.
TEST_CASE("If all instances of the region are overloaded, they are named",
          "[overload]") {
  ViewBed Bed;
  for (const char *Name : {"l1", "l2", "m1"})
    Bed.overload(Name);
  CHECK(Bed.lookUp() == Addresses{"m2"});
  Bed.overload("m2");
  CHECK(Bed.lookUp() == Addresses{"l1", "l2"});
}

TEST_CASE("An overloaded instance names itself if it knows no other",
          "[overload]") {
  ViewBed Bed;
  for (const char *Name : {"l2", "s1", "s2", "m1", "m2", "f1"})
    Bed.View.remove(Name);
  Bed.overload("l1");
  CHECK(Bed.lookUp() == Addresses{"l1"});
}

TEST_CASE("The load of a zone counts live instances in service", "[overload]") {
  ViewBed Bed;
  CHECK(Bed.View.zoneLoad("z-a").Overloaded == 0);
  Bed.overload("l2");
  Bed.enterService("s1");
  Bed.overload("s2"); // A standby.
  CHECK(Bed.View.zoneLoad("z-a").Overloaded == Approx(0.5));
  CHECK(Bed.View.zoneLoad("z-a").Helping == Approx(0.1));
  CHECK(Bed.View.zoneLoad("z-b").Overloaded == 0);
  Bed.overload("s1");
  CHECK(Bed.View.zoneLoad("z-a").Overloaded == Approx(0.6));
  CHECK(Bed.View.zoneLoad("z-a").Helping == 0);
  // An instance that crashed is not waited for.
  Bed.View.recordRead(130s, false);
  CHECK(Bed.View.zoneLoad("z-a").Overloaded == 0);
}

// Guards against an announcement that an older row undoes, and against one that
// outlives a newer row.
TEST_CASE("The newest of announcement and row counts", "[overload]") {
  ViewBed Bed;
  const auto Overloaded = [&] {
    return Bed.View.records().at("l2").Distressed.has_value();
  };
  const LoadNotice Begin{"l2", "1", "z", 101s, 101s};
  CHECK(Bed.View.apply(Begin));
  CHECK(Overloaded());
  CHECK_FALSE(Bed.View.apply(Begin));
  // A row that was written before the announcement, and a snapshot with it.
  Bed.put("l2", "z-a", "z");
  CHECK(Overloaded());
  Bed.View.clear();
  Bed.put("l2", "z-a", "z");
  CHECK(Overloaded());
  CHECK(Bed.View.apply(LoadNotice{"l2", "1", "z", 103s, {}}));
  CHECK_FALSE(Overloaded());
  CHECK_FALSE(Bed.View.apply(LoadNotice{"l2", "1", "z", 102s, 101s}));
  CHECK_FALSE(Overloaded());
  Bed.change("l2", [](MemberRecord &Record) {
    Record.WrittenAt = 104s;
    Record.Distressed = 104s;
  });
  CHECK(Overloaded());
  CHECK_FALSE(Bed.View.apply(LoadNotice{"l2", "1", "z", 103s + 500ms, {}}));
  CHECK(Overloaded());
}

TEST_CASE("Announcements of unknown instances and earlier runs are ignored",
          "[overload]") {
  ViewBed Bed;
  CHECK_FALSE(Bed.View.apply(LoadNotice{"other", "1", "z", 101s, 101s}));
  CHECK_FALSE(Bed.View.apply(LoadNotice{"l2", "0", "z", 101s, 101s}));
  CHECK_FALSE(Bed.View.records().at("l2").Distressed);
}
