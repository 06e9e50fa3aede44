#include "gateway/QuotaExchange.h"
#include "gateway/QuotaMessages.h"
#include "gateway/SteeringState.h"
#include "gateway/TestPlatform.h"
#include "limits/ShareUnits.h"
#include "links/PeerLinks.h"
#include "tables/BootTime.h"

#include "testing/TestLoop.h"

#include <catch2/catch.hpp>

#include <optional>
#include <thread>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// The part of an instance that is needed for quotas: state, links and
/// exchange.
struct TestInstance {
  TestInstance(TestLoop &Loop, const std::string &Name)
      : State(settingsOf(Name)),
        Links(Loop.context(), {Name, "z-a", "127.0.0.1:0"}),
        Quotas(this->State, this->Links, this->Counters) {
    this->Links.start("secret");
    this->State.MembersKnown = true;
    this->State.QuotaParticipation.recordWrite(bootTime(), bootTime(), false);
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

/// Two linked instances of one region, and a workspace.
struct ExchangeBed {
  ExchangeBed() {
    SteeringConfig Config = *testConfiguration(1, {"key"}, Rate, Rate);
    const auto Shared = std::make_shared<const SteeringConfig>(Config);
    this->Workspace = Config.Workspaces.front();
    for (TestInstance *Item : {&this->First, &this->Second}) {
      Item->State.Config = Shared;
      for (const TestInstance *Other : {&this->First, &this->Second})
        Item->State.Members.apply(Other->record());
      Item->State.Members.recordRead(0s, false);
    }
    this->advance(1s);
    // An instance that is not the holder asks the other one when its share is
    // used up.
    this->Member = &this->First;
    this->Holder = &this->Second;
    if (this->take(this->First).DecidedBy == "local share" &&
        this->drain(this->First) == "local share")
      std::swap(this->Member, this->Holder);
  }
  ~ExchangeBed() {
    this->First.Links.stop();
    this->Second.Links.stop();
    this->advance(1s);
  }

  /// Sleeps between steps of the paused clock, so that the kernel delivers
  /// data.
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
    for (TestInstance *Item : {&this->First, &this->Second}) {
      Item->State.QuotaParticipation.recordWrite(bootTime(), bootTime(), false);
      if (!this->MaintenancePaused)
        Item->Quotas.maintain(Clock::now());
    }
  }

  QuotaDecision take(TestInstance &At) {
    std::optional<QuotaDecision> Result;
    this->Loop.spawn([&]() -> asio::awaitable<void> {
      Result = co_await At.Quotas.acquire(this->Workspace);
    });
    this->Loop.run();
    for (int Step = 0; Step < 50 && !Result; ++Step)
      this->advance(20ms);
    REQUIRE(Result);
    return *Result;
  }

  /// The first decision of \p At, without a renewal of its share.
  QuotaDecision takeWithoutShare(TestInstance &At) {
    std::optional<QuotaDecision> Result;
    this->Loop.spawn([&]() -> asio::awaitable<void> {
      Result = co_await At.Quotas.acquire(this->Workspace);
    });
    this->Loop.run();
    REQUIRE(Result);
    return *Result;
  }

  /// Takes tokens until a request is refused, and returns the source of the
  /// refusal.
  std::string drain(TestInstance &At) {
    for (int Count = 0; Count < 400; ++Count) {
      const QuotaDecision Verdict = this->take(At);
      if (Verdict.Wait > Clock::duration::zero())
        return Verdict.DecidedBy;
      ++this->Admitted;
    }
    return "nobody";
  }

  static constexpr double Rate = 20;
  TestLoop Loop;
  bool MaintenancePaused = false;
  int Admitted = 0;
  SteeringWorkspace Workspace;
  TestInstance First{this->Loop, "first"};
  TestInstance Second{this->Loop, "second"};
  TestInstance *Member = nullptr;
  TestInstance *Holder = nullptr;
};

} // namespace

// Guards against refusals at the instance that receives a workspace's requests
// while the other instance of the region still has tokens.
TEST_CASE("One instance can use the whole rate of its region", "[quota]") {
  ExchangeBed Bed;
  Bed.advance(20s);
  Bed.Admitted = 0;
  const std::string Refused = Bed.drain(*Bed.Member);
  CAPTURE(Refused, Bed.Admitted);
  CHECK(Refused == Bed.Holder->State.Settings.Name);
  // More than the local share could provide, and at most what the quota bounds
  // allow.
  CHECK(Bed.Admitted > (Bed.Rate * 0.6 + 20) * 0.35);
  CHECK(Bed.Admitted <= (Bed.Rate * 5 + Bed.Rate) * 1.1 + 20);
}

// Guards against requests that wait for a holder that has stopped.
TEST_CASE("Without its holder an instance uses its local share", "[quota]") {
  ExchangeBed Bed;
  Bed.Holder->Links.stop();
  Bed.advance(3s);
  int Admitted = 0;
  for (int Step = 0; Step < 20; ++Step) {
    Bed.advance(100ms);
    const QuotaDecision Verdict = Bed.take(*Bed.Member);
    Admitted += Verdict.Wait == Clock::duration::zero() ? 1 : 0;
    CHECK(Verdict.DecidedBy == "local share");
  }
  CHECK(Admitted >= 10);
}

// Guards against tokens that are used twice: lent by an instance that lost its
// quota share, and used by the instances that took over the share.
TEST_CASE("An instance without a quota share lends no tokens", "[quota]") {
  ExchangeBed Bed;
  Bed.advance(5s);
  Bed.MaintenancePaused = true;
  Bed.Holder->State.QuotaParticipation.release();
  Bed.Holder->State.Standby = true;
  Bed.drain(*Bed.Member);
  const QuotaGrant Left =
      Bed.Holder->State.Quotas.grant("w", OneRequest, Clock::now());
  CHECK(Left.Amount >= OneRequest);
}

// Guards against tokens that an instance collected, or received while it was
// suspended, before others took over its share.
TEST_CASE("An instance whose share begins anew has no tokens from before",
          "[quota]") {
  ExchangeBed Bed;
  Bed.advance(20s);
  Bed.MaintenancePaused = true;
  TestInstance &Holder = *Bed.Holder;
  const auto Tokens = [&Holder] {
    return Holder.State.Quotas.grant("w", MaxAmount, Clock::now()).Amount;
  };
  REQUIRE(Tokens() > 2 * OneRequest);
  ShareEligibility &Share = Holder.State.QuotaParticipation;
  Clock::advance(5s);
  REQUIRE_FALSE(Share.mayUseShare(bootTime()));
  const QuotaDecision Away = Bed.takeWithoutShare(Holder);
  CHECK(Away.Wait > 0s);
  CHECK(Away.DecidedBy == "no share");
  Share.recordWrite(bootTime(), bootTime(), true);
  Clock::advance(2300ms);
  REQUIRE(Share.mayUseShare(bootTime()));
  // Nothing has accrued since either, as others used the share.
  const QuotaDecision First = Bed.takeWithoutShare(Holder);
  CHECK(First.Wait > 0s);
  CHECK(Tokens() == 0);
}

// Guards against malformed messages of a peer that crash the process or create
// tokens.
TEST_CASE("Malformed quota messages are rejected", "[quota]") {
  for (const std::string &Body :
       {std::string("x"), std::string(), encodeQuotaTransfer({{"w", 1}}),
        encodeQuotaRequest({"w", 1}).substr(1)})
    CHECK_FALSE(decodeQuotaRequest(Body));
  CHECK_FALSE(decodeQuotaGrant(encodeQuotaRequest({"w", 1})));
  CHECK_FALSE(decodeQuotaTransfer(encodeQuotaGrant({1, 1s})));
  CHECK_FALSE(decodeQuotaTransfer(encodeQuotaTransfer({{"w", -5}})));
  CHECK_FALSE(decodeQuotaTransfer(encodeQuotaTransfer({{"w", MaxAmount + 1}})));
  CHECK(decodeQuotaGrant(encodeQuotaGrant({5, 1s}))->Amount == 5);
}
