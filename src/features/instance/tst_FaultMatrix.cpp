#include "base/Digest.h"
#include "base/Timer.h"
#include "history/Checks.h"
#include "instance/InstanceFleet.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <vector>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// What an operation comes to in one cell.
enum class Expect {
  /// It succeeds in spite of the fault.
  Done,
  /// It is refused, and what it asked for has not happened.
  Refused,
  /// It succeeds, or is refused truthfully; which one depends on the moment.
  Either,
  /// The fault does not touch the operation.
  NotApplicable,
};

struct Fault {
  const char *Name;
  void (*Begin)(InstanceFleet &);
  void (*End)(InstanceFleet &);
};

struct Operation {
  const char *Name;
  /// Whether it succeeded.
  bool (*Run)(InstanceFleet &);
  /// Whether its effect is there, some time after the fault has ended.
  bool (*Holds)(InstanceFleet &);
};

void nothing(InstanceFleet &) {}

void cut(InstanceFleet &Fleet, bool Peers, bool Store) {
  Fleet.Nodes.at("b1x").Group = Peers ? 1 : 0;
  Fleet.Nodes.at("b1x").StoreCut = Store;
}

void forServers(InstanceFleet &Fleet, void (*Change)(FakeServer &)) {
  for (const char *Name : {"stock-3", "orders-3"})
    Change(Fleet.Servers.at(Name));
}

const std::vector<Fault> Faults = {
    {"none", nothing, nothing},
    {"store down", [](InstanceFleet &F) { F.Store.Down = true; },
     [](InstanceFleet &F) { F.Store.Down = false; }},
    {"store slow", [](InstanceFleet &F) { F.Store.Latency = 400ms; },
     [](InstanceFleet &F) { F.Store.Latency = 0ms; }},
    {"answer lost", [](InstanceFleet &F) { F.Store.LoseAnswers = 1; }, nothing},
    {"instance dies", [](InstanceFleet &F) { F.kill("a1y"); },
     [](InstanceFleet &F) { F.start("a1y"); }},
    {"host silent", [](InstanceFleet &F) { F.kill("a1y", true); },
     [](InstanceFleet &F) { F.start("a1y"); }},
    {"region dies", [](InstanceFleet &F) { F.kill("b1x"); },
     [](InstanceFleet &F) { F.start("b1x"); }},
    {"zone cut: zones", [](InstanceFleet &F) { cut(F, true, false); },
     [](InstanceFleet &F) { cut(F, false, false); }},
    {"zone cut: store", [](InstanceFleet &F) { cut(F, false, true); },
     [](InstanceFleet &F) { cut(F, false, false); }},
    {"zone cut: both", [](InstanceFleet &F) { cut(F, true, true); },
     [](InstanceFleet &F) { cut(F, false, false); }},
    {"server dies",
     [](InstanceFleet &F) {
       forServers(F, [](FakeServer &S) { S.Down = true; });
     },
     [](InstanceFleet &F) {
       forServers(F, [](FakeServer &S) { S.Down = false; });
     }},
    {"server silent",
     [](InstanceFleet &F) {
       forServers(F, [](FakeServer &S) { S.Silent = true; });
     },
     [](InstanceFleet &F) {
       forServers(F, [](FakeServer &S) { S.Silent = false; });
     }},
    {"late answers", [](InstanceFleet &F) { F.PeerLatency = 150ms; },
     [](InstanceFleet &F) { F.PeerLatency = 1ms; }},
};

std::uint64_t configVersion(InstanceFleet &Fleet, const char *Name) {
  return Fleet.core(Name).state().Control.config().version();
}

bool sameConfig(InstanceFleet &Fleet) {
  const std::uint64_t Version = configVersion(Fleet, "a1x");
  for (const auto &[Name, Item] : Fleet.Nodes)
    if (Item.Running && configVersion(Fleet, Name.c_str()) != Version)
      return false;
  return true;
}

bool planned(InstanceFleet &Fleet, const std::string &Intent) {
  return !Fleet.carryOut("a1x", Intent).empty();
}

bool ran(InstanceFleet &Fleet, const char *Id) { return Fleet.runsOf(Id) <= 1; }

const std::vector<Operation> Operations = {
    {"look-up",
     [](InstanceFleet &F) {
       return F.request("a1x", "/.redwingrack/lookup?address=10.1.0.1")
                  .Status == 200;
     },
     [](InstanceFleet &) { return true; }},
    {"open request",
     [](InstanceFleet &F) { return F.request("a1x", "/about").Status == 200; },
     [](InstanceFleet &) { return true; }},
    {"keyed request",
     [](InstanceFleet &F) {
       return F.request("a1x", "/stock/1").Status == 200;
     },
     [](InstanceFleet &) { return true; }},
    {"keyed request, far zone",
     [](InstanceFleet &F) {
       return F.request("a2x", "/stock/1").Status == 200;
     },
     [](InstanceFleet &) { return true; }},
    {"order",
     [](InstanceFleet &F) {
       return F.request("a1x", "/orders", "POST",
                        {{"Idempotency-Key", "m1"}, {"X-Request-Id", "m1"}})
                  .Status == 200;
     },
     [](InstanceFleet &F) { return ran(F, "m1"); }},
    {"order repeated elsewhere",
     [](InstanceFleet &F) {
       const HttpHeaders Order = {{"Idempotency-Key", "m2"},
                                  {"X-Request-Id", "m2"}};
       F.request("a1x", "/orders", "POST", Order);
       return F.request("a2x", "/orders", "POST", Order).Status == 200;
     },
     [](InstanceFleet &F) { return ran(F, "m2"); }},
    {"propose",
     [](InstanceFleet &F) {
       return F.propose("a1x",
                        intentText("set_rate",
                                   "\"workspace\":\"v\",\"rate_per_second\":9,"
                                   "\"burst\":9"))
                  .Status == 201;
     },
     [](InstanceFleet &) { return true; }},
    {"confirm",
     [](InstanceFleet &F) {
       return planned(F, intentText("set_rate",
                                    "\"workspace\":\"v\",\"rate_per_second\":"
                                    "9,\"burst\":9"));
     },
     sameConfig},
    {"drain",
     [](InstanceFleet &F) {
       return planned(F, intentText("drain_server", "\"server\":\"stock-1\""));
     },
     sameConfig},
    {"issue key",
     [](InstanceFleet &F) {
       return planned(
           F, intentText("issue_key", "\"workspace\":\"v\",\"key_hash\":\"" +
                                          sha256Hex("other") + "\""));
     },
     [](InstanceFleet &) { return true; }},
    {"withdraw key",
     [](InstanceFleet &F) {
       return planned(F,
                      intentText("withdraw_key",
                                 "\"key_hash\":\"" + sha256Hex(F.Key) + "\""));
     },
     [](InstanceFleet &) { return true; }},
    {"shift step",
     [](InstanceFleet &F) {
       return planned(
           F, intentText("move_traffic",
                         "\"workspace\":\"w\",\"from_region\":\"a\","
                         "\"to_region\":\"b\",\"share\":0.2,\"cap\":0.2,"
                         "\"steps\":2,\"deadline\":\"2099-01-01T00:00:00Z\""));
     },
     sameConfig},
    {"rollout stage",
     [](InstanceFleet &F) {
       return planned(F, intentText("roll_out_version",
                                    "\"service\":\"stock\",\"version\":\"2\","
                                    "\"deadline\":\"2099-01-01T00:00:00Z\""));
     },
     sameConfig},
    {"stop an instance",
     [](InstanceFleet &F) {
       auto Left = std::make_shared<bool>(false);
       F.Loop.spawn([&F, Left]() -> asio::awaitable<void> {
         co_await F.core("a2x").leave();
         *Left = true;
       });
       const auto Answer = F.request("a2x", "/about");
       F.advance(45s);
       return *Left && Answer.Status == 200;
     },
     [](InstanceFleet &) { return true; }},
};

/// A letter a cell, in the order of Operations: D done, R refused, E either,
/// - not applicable.
struct Row {
  const char *FaultName;
  const char *BeforeIt;
  const char *DuringIt;
};

// Store down: orders with a key cannot be claimed, changes are refused, a
// withdrawal goes through the instances. Host silent or a zone cut from the
// store and from others: keyed requests of the side with the store go on.
const std::vector<Row> Table = {
    {"none", "DDDDDDDDDDDDDD", "DDDDDDDDDDDDDD"},
    {"store down", "DDDDRRRRRRDRRD", "DDDDEEEEEEEEED"},
    {"store slow", "DDDDDDDDDDDDDD", "DDDDDDDDDDDDDD"},
    {"answer lost", "DDDDDDDDDDDDDD", "DDDDDDDDDDDDDD"},
    {"instance dies", "DDDDDDDDDDDDDD", "DDEEEEDDDDDDDD"},
    {"host silent", "DDDDDDDDDDDDDD", "DDEEEEDDDDDDDD"},
    {"region dies", "DDDDDDDDDDDEDD", "DDDDDDDDDDDEDD"},
    {"zone cut: zones", "DDDDDDDDDDDEDD", "DDDDDDDDDDDEDD"},
    {"zone cut: store", "DDDDDDDDDDDDDD", "DDDDDDDDDDDDDD"},
    {"zone cut: both", "DDDDDDDDDDDEDD", "DDDDDDDDDDDEDD"},
    {"server dies", "DDDDDDDDDDDDDD", "DDDDDDDDDDDDDD"},
    {"server silent", "DEEEEEDDDDDDDE", "DEEEEEDDDDDDDE"},
    {"late answers", "DDDDDDDDDDDDDD", "DDDDDDDDDDDDDD"},
};

Expect expectationOf(char Letter) {
  switch (Letter) {
  case 'D':
    return Expect::Done;
  case 'R':
    return Expect::Refused;
  case 'E':
    return Expect::Either;
  default:
    return Expect::NotApplicable;
  }
}

/// Runs a cell and returns what is wrong; empty when nothing is.
std::string runCell(const Fault &Injected, const Operation &Tried, bool Before,
                    Expect Expected) {
  InstanceFleet Fleet;
  Fleet.bringUp();
  Fleet.Observer.keyIssued("k", "w");
  Fleet.Patience = 20s;
  if (Before) {
    Injected.Begin(Fleet);
    Fleet.advance(6s);
  } else {
    // The fault comes while the operation runs.
    Fleet.Loop.spawn([&]() -> asio::awaitable<void> {
      co_await sleepFor(12ms);
      Injected.Begin(Fleet);
    });
  }
  const bool Succeeded = Tried.Run(Fleet);
  if (Expected == Expect::Done && !Succeeded)
    return "did not succeed";
  if (Expected == Expect::Refused && Succeeded)
    return "was not refused";
  Fleet.advance(5s);
  Injected.End(Fleet);
  Fleet.advance(12s);
  if (!Tried.Holds(Fleet))
    return "its effect does not hold afterwards";
  if (Fleet.KeysSeen > 0)
    return "a backend server saw the key";
  const auto Broken = history::checkHistory(Fleet.Observer.Recorded);
  return Broken.empty() ? std::string() : describe(Broken.front());
}

} // namespace

// Guards against an operation that says something untrue, or leaves the fleet
// in two minds, when a fault comes before or while it runs.
TEST_CASE("Every operation meets every fault as the table says") {
  REQUIRE(Table.size() == Faults.size());
  int Tried = 0;
  int Passed = 0;
  int NotApplicable = 0;
  for (std::size_t F = 0; F < Faults.size(); ++F) {
    REQUIRE(std::string(Table[F].FaultName) == Faults[F].Name);
    for (const bool Before : {true, false}) {
      const char *Letters = Before ? Table[F].BeforeIt : Table[F].DuringIt;
      for (std::size_t O = 0; O < Operations.size(); ++O) {
        const Expect Expected = expectationOf(Letters[O]);
        if (Expected == Expect::NotApplicable) {
          ++NotApplicable;
          continue;
        }
        ++Tried;
        const std::string Wrong =
            runCell(Faults[F], Operations[O], Before, Expected);
        Passed += Wrong.empty() ? 1 : 0;
        INFO(Faults[F].Name << (Before ? " before " : " during ")
                            << Operations[O].Name << ": " << Wrong);
        CHECK(Wrong.empty());
      }
    }
  }
  std::printf("fault matrix: %d cells tried, %d passed, %d not applicable\n",
              Tried, Passed, NotApplicable);
}
