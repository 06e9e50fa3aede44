#include "gateway/QuotaExchange.h"
#include "gateway/QuotaMessages.h"
#include "gateway/SteeringState.h"
#include "gateway/TestPlatform.h"
#include "links/PeerLinks.h"
#include "tables/BootTime.h"

#include "testing/TestLoop.h"

#include <catch2/catch.hpp>

#include <optional>
#include <thread>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// One instance without its requests: what it knows, its links and its part of
/// the rates.
struct Party {
  Party(TestLoop &Loop, const std::string &Name)
      : State(settingsOf(Name)),
        Links(Loop.context(), {Name, "z-a", "127.0.0.1:0"}),
        Quotas(this->State, this->Links, this->Counters) {
    this->Links.start("secret");
    this->State.MembersKnown = true;
    this->State.Tenure.recordWrite(bootTime(), bootTime(), false);
    this->State.Settings.PeerAddress =
        "127.0.0.1:" + std::to_string(this->Links.port());
  }

  static GatewaySettings settingsOf(const std::string &Name) {
    GatewaySettings Settings = testSettings();
    Settings.Name = Name;
    return Settings;
  }

  MemberRecord record() const {
    MemberRecord Record;
    Record.Name = this->State.Settings.Name;
    Record.Zone = "z-a";
    Record.Region = "z";
    Record.PeerAddress = this->State.Settings.PeerAddress;
    return Record;
  }

  Metrics Counters;
  SteeringState State;
  PeerLinks Links;
  QuotaExchange Quotas;
};

/// Two instances of one region that know each other, and a workspace.
struct ExchangeBed {
  ExchangeBed() {
    SteeringConfig Config = *testConfiguration(1, {"key"}, Rate, Rate);
    const auto Shared = std::make_shared<const SteeringConfig>(Config);
    this->Workspace = Config.Workspaces.front();
    for (Party *Item : {&this->First, &this->Second}) {
      Item->State.Config = Shared;
      for (const Party *Other : {&this->First, &this->Second})
        Item->State.Members.apply(Other->record());
      Item->State.Members.recordRead(0s, false);
    }
    this->advance(1s);
    // The one that holds the workspace is asked by the other one.
    this->Member = &this->First;
    this->Holder = &this->Second;
    if (this->take(this->First).DecidedBy == "own part" &&
        this->drain(this->First) == "own part")
      std::swap(this->Member, this->Holder);
  }
  ~ExchangeBed() {
    this->First.Links.stop();
    this->Second.Links.stop();
    this->advance(1s);
  }

  /// Leaves the kernel time to deliver between steps of the paused clock.
  void advance(Clock::duration Time) {
    for (Clock::duration Passed{0}; Passed < Time; Passed += 20ms) {
      Clock::advance(20ms);
      this->maintain();
      for (int Round = 0; Round < 3; ++Round) {
        this->Loop.run();
        std::this_thread::sleep_for(100us);
      }
      this->Loop.run();
    }
  }

  void maintain() {
    for (Party *Item : {&this->First, &this->Second}) {
      Item->State.Tenure.recordWrite(bootTime(), bootTime(), false);
      if (!this->Frozen)
        Item->Quotas.maintain(Clock::now());
    }
  }

  QuotaVerdict take(Party &At) {
    std::optional<QuotaVerdict> Result;
    this->Loop.spawn([&]() -> asio::awaitable<void> {
      Result = co_await At.Quotas.take(this->Workspace);
    });
    this->Loop.run();
    for (int Step = 0; Step < 50 && !Result; ++Step)
      this->advance(20ms);
    REQUIRE(Result);
    return *Result;
  }

  /// Takes until a request is refused, and returns who refused it.
  std::string drain(Party &At) {
    for (int Count = 0; Count < 400; ++Count) {
      const QuotaVerdict Verdict = this->take(At);
      if (Verdict.Wait > Clock::duration::zero())
        return Verdict.DecidedBy;
      ++this->Admitted;
    }
    return "nobody";
  }

  static constexpr double Rate = 20;
  TestLoop Loop;
  bool Frozen = false;
  int Admitted = 0;
  SteeringWorkspace Workspace;
  Party First{this->Loop, "first"};
  Party Second{this->Loop, "second"};
  Party *Member = nullptr;
  Party *Holder = nullptr;
};

} // namespace

// Guards against a workspace that is refused where its requests arrive, while
// the other instance of the region has its rate.
TEST_CASE("All of a region's rate can be used at one instance", "[quota]") {
  ExchangeBed Bed;
  Bed.advance(20s);
  Bed.Admitted = 0;
  const std::string Refused = Bed.drain(*Bed.Member);
  CAPTURE(Refused, Bed.Admitted);
  CHECK(Refused == Bed.Holder->State.Settings.Name);
  // More than its own part could hold, and no more than the rule allows.
  CHECK(Bed.Admitted > (Bed.Rate * 0.6 + 20) * 0.35);
  CHECK(Bed.Admitted <= (Bed.Rate * 5 + Bed.Rate) * 1.1 + 20);
}

// Guards against requests that wait for an instance that has died.
TEST_CASE("Without its holder an instance uses its own part", "[quota]") {
  ExchangeBed Bed;
  Bed.Holder->Links.stop();
  Bed.advance(3s);
  int Admitted = 0;
  for (int Step = 0; Step < 20; ++Step) {
    Bed.advance(100ms);
    const QuotaVerdict Verdict = Bed.take(*Bed.Member);
    Admitted += Verdict.Wait == Clock::duration::zero() ? 1 : 0;
    CHECK(Verdict.DecidedBy == "own part");
  }
  CHECK(Admitted >= 10);
}

// Guards against an instance that uses its parts for others while these have
// gone on without it.
TEST_CASE("An instance that others do not count on lends nothing", "[quota]") {
  ExchangeBed Bed;
  Bed.advance(5s);
  Bed.Frozen = true;
  Bed.Holder->State.Tenure.release();
  Bed.Holder->State.Standby = true;
  Bed.drain(*Bed.Member);
  const QuotaGrant Left =
      Bed.Holder->State.Quotas.grant("w", OneRequest, Clock::now());
  CHECK(Left.Amount >= OneRequest);
}

// Guards against bytes of a peer that end the process or create tokens.
TEST_CASE("Malformed messages about rates are refused", "[quota]") {
  for (const std::string &Body :
       {std::string("x"), std::string(), encodeQuotaParcel({{"w", 1}}),
        encodeQuotaRequest({"w", 1}).substr(1)})
    CHECK_FALSE(decodeQuotaRequest(Body));
  CHECK_FALSE(decodeQuotaGrant(encodeQuotaRequest({"w", 1})));
  CHECK_FALSE(decodeQuotaParcel(encodeQuotaGrant({1, 1s})));
  CHECK_FALSE(decodeQuotaParcel(encodeQuotaParcel({{"w", -5}})));
  CHECK_FALSE(decodeQuotaParcel(encodeQuotaParcel({{"w", MaxAmount + 1}})));
  CHECK(decodeQuotaGrant(encodeQuotaGrant({5, 1s}))->Amount == 5);
}
