#include "model/FleetConfig.h"
#include "routing/ConnectionLease.h"
#include "routing/ServerTable.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start{1h};
using Health = Ejection::Health;

FleetConfig servers(int Count, std::uint32_t Slots) {
  FleetConfig Config;
  Config.Zones = {{"a1", "a"}, {"b1", "b"}};
  for (int I = 0; I < Count; ++I)
    Config.Servers.push_back(
        {"s" + std::to_string(I), "stock", "1", "a1", "", Slots, 400, false});
  return Config;
}

/// A table that owns all its servers, warm.
struct Fixture {
  Fixture(int Count, std::uint32_t Slots) : Config(servers(Count, Slots)) {
    this->Table.configure(this->Config, "a", true, Start);
    this->Table.setOwned([](const std::string &) { return true; });
  }
  SlotLease acquire(bool MayRetry = true) {
    return this->Table.acquire("stock", "1", MayRetry, this->Random, this->Now);
  }
  /// Ends \p Count requests on one server.
  void finish(const char *Name, RequestOutcome Outcome, int Count,
              std::chrono::milliseconds Latency = 10ms) {
    for (int I = 0; I < Count; ++I) {
      const ServerPtr Server = this->Table.find(Name);
      ++Server->Outstanding;
      this->Table.release(*Server, Outcome, false, Latency, this->Now);
    }
  }
  int share(const char *Name, int Requests) {
    int Count = 0;
    for (int I = 0; I < Requests; ++I)
      if (SlotLease Lease = this->acquire()) {
        Count += Lease.server().Config.Name == Name ? 1 : 0;
        Lease.finish(RequestOutcome::Abandoned, this->Now);
      }
    return Count;
  }
  Health health(const char *Name) {
    return this->Table.find(Name)->Health.health();
  }

  FleetConfig Config;
  ServerTable Table;
  RandomEngine Random{1};
  Clock::time_point Now = Start;
};

} // namespace

// Guards against any sequence of requests that uses more than the slots of a
// server or loses a slot.
TEST_CASE("Slots are counted exactly") {
  CHECK(rc::check([] {
    Fixture Fix(3, 3);
    std::vector<SlotLease> Leases;
    for (int Step = 0; Step < 100; ++Step) {
      Fix.Now += 10ms;
      if (*rc::gen::inRange(0, 5) < 3) {
        if (SlotLease Lease = Fix.acquire())
          Leases.push_back(std::move(Lease));
      } else if (!Leases.empty()) {
        const auto Position = *rc::gen::inRange<std::size_t>(0, Leases.size());
        const auto Outcome =
            static_cast<RequestOutcome>(*rc::gen::inRange(0, 3));
        Leases[Position].finish(Outcome, Fix.Now);
        Leases.erase(Leases.begin() + static_cast<std::ptrdiff_t>(Position));
      }
      std::uint32_t Sum = 0;
      for (const ServerPtr &Server : Fix.Table.all()) {
        RC_ASSERT(Server->Outstanding <= Server->Config.Slots);
        Sum += Server->Outstanding;
      }
      RC_ASSERT(Sum == Leases.size());
    }
  }));
}

// Guards against requests to servers that drain, that another instance owns
// or that belong to another version, and against more than the connections.
TEST_CASE("Requests go only to owned servers that do not drain") {
  Fixture Fix(3, 3);
  Fix.Config.Servers[0].Draining = true;
  Fix.Config.Servers[1].Version = "2";
  Fix.Config.Servers[2].Connections = 1;
  Fix.Table.configure(Fix.Config, "a", true, Start);
  const SlotLease First = Fix.acquire();
  REQUIRE(First);
  CHECK(First.server().Config.Name == "s2");
  CHECK_FALSE(Fix.acquire());
  const ConnectionLease Connection(Fix.Table.find("s2"));
  CHECK(Connection);
  CHECK_FALSE(ConnectionLease(Fix.Table.find("s2")));
  Fix.Table.setOwned([](const std::string &) { return false; });
  CHECK_FALSE(Fix.Table.acquire("stock", "2", true, Fix.Random, Start));
}

// Guards against a lease that outlives its server in the configuration.
TEST_CASE("A lease frees its slot after the server has gone") {
  Fixture Fix(1, 3);
  SlotLease Lease = Fix.acquire();
  const ServerPtr Server = Fix.Table.find("s0");
  Fix.Table.configure(FleetConfig(), "a", true, Start);
  CHECK_FALSE(Fix.acquire());
  Lease.finish(RequestOutcome::Success, Start);
  CHECK(Server->Outstanding == 0);
}

// Guards against a faulty server that goes on getting requests, and against
// ejections that take more than a third of a service in a zone.
TEST_CASE("At most a third of the servers is ejected") {
  Fixture Fix(6, 3);
  for (const char *Name : {"s0", "s1", "s2"}) {
    Fix.finish(Name, RequestOutcome::Failure, 4);
    CHECK(Fix.health(Name) == Health::Healthy);
    Fix.finish(Name, RequestOutcome::Failure, 1);
  }
  CHECK(Fix.health("s1") == Health::Ejected);
  CHECK(Fix.health("s2") == Health::Suspect);
  for (const char *Name : {"s0", "s1", "s2"})
    CHECK(Fix.share(Name, 50) == 0);
  CHECK(Fix.Table.acquireSuspect("stock", "1", Fix.Random, Start));
  // Ejections of another owner count as well.
  Fixture Other(6, 3);
  Other.Table.setEjectedElsewhere("stock", "a1", 2);
  Other.finish("s0", RequestOutcome::Failure, 5);
  CHECK(Other.health("s0") == Health::Suspect);
}

// Guards against a server that fails half of its requests and never five in
// turn, and against ejection for failures that all servers share.
TEST_CASE("A failure rate ejects an outlier only") {
  Fixture Fix(3, 3);
  for (int I = 0; I < 30; ++I) {
    Fix.finish("s0", RequestOutcome::Failure, 1);
    Fix.finish("s0", RequestOutcome::Success, 1);
    Fix.finish("s1", RequestOutcome::Success, 2);
  }
  CHECK(Fix.health("s0") == Health::Ejected);
  Fixture All(3, 3);
  for (int I = 0; I < 30; ++I)
    for (const char *Name : {"s0", "s1", "s2"}) {
      All.finish(Name, RequestOutcome::Failure, 1);
      All.finish(Name, RequestOutcome::Success, 1);
    }
  CHECK(All.health("s0") == Health::Healthy);
}

// Guards against a crowd of requests on a server that returns, against trials
// with requests that must not run twice, and against a constant pause.
TEST_CASE("An ejected server returns by a single trial") {
  Fixture Fix(3, 4);
  Fix.finish("s0", RequestOutcome::Failure, 5);
  REQUIRE(Fix.health("s0") == Health::Ejected);
  Fix.Now = Start + 1s - 1ns;
  CHECK(Fix.share("s0", 20) == 0);
  Fix.Now = Start + 1s;
  CHECK(Fix.acquire(false).server().Config.Name != "s0");
  {
    SlotLease Trial = Fix.acquire();
    REQUIRE(Trial.isTrial());
    CHECK(Fix.share("s0", 20) == 0);
    Trial.finish(RequestOutcome::Failure, Fix.Now);
  }
  Fix.Now += 2s - 1ns;
  CHECK(Fix.share("s0", 20) == 0);
  Fix.Now += 1ns;
  Fix.acquire().finish(RequestOutcome::Success, Fix.Now);
  CHECK(Fix.health("s0") == Health::Healthy);
  CHECK(effectiveSlots(*Fix.Table.find("s0"), Fix.Now) == 1);
  // A relapse waits longer still; without retryable requests any one serves.
  Fix.finish("s0", RequestOutcome::Failure, 5);
  Fix.Now += 4s - 1ns;
  CHECK_FALSE(Fix.Table.find("s0")->Health.trialDue(Fix.Now));
  Fix.Now += 1ns;
  CHECK(Fix.Table.find("s0")->Health.trialDue(Fix.Now));
  CHECK_FALSE(Fix.acquire(false).isTrial());
  Fix.Now += 30s;
  CHECK(Fix.acquire(false).isTrial());
}

// Guards against full load on a cold server and on a cold cache.
TEST_CASE("Cold servers and large moves start slowly") {
  Fixture Fix(1, 7);
  Fix.Config.Servers[0].Version = "2";
  Fix.Table.configure(Fix.Config, "a", false, Start);
  const ServerPtr Server = Fix.Table.find("s0");
  CHECK(effectiveSlots(*Server, Start) == 1);
  CHECK(effectiveSlots(*Server, Start + 15s) == 4);
  CHECK(effectiveSlots(*Server, Start + 30s) == 7);
  Fix.Now = Start + 1min;
  std::vector<SlotLease> Leases;
  for (int I = 0; I < 3; ++I)
    Leases.push_back(
        Fix.Table.acquire("stock", "2", true, Fix.Random, Fix.Now));
  Fix.Table.beginLargeMove("stock", "2", Fix.Now);
  CHECK_FALSE(Fix.Table.acquire("stock", "2", true, Fix.Random, Fix.Now));
  CHECK(effectiveSlots(*Server, Fix.Now + 15s) == 5);
}
