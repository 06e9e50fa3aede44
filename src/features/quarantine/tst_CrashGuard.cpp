#include "base/Random.h"
#include "quarantine/CrashGuard.h"
#include "quarantine/Fingerprint.h"
#include "testing/SeededProperty.h"

#include <nlohmann/json.hpp>

#include <algorithm>

using namespace rr;
using namespace std::chrono_literals;

namespace {

using Verdict = CrashGuard::Verdict;

const Clock::time_point Start{1000s};
const std::string CrashingFingerprint =
    requestFingerprint("w", "POST", "/p", "bad");

std::string numberedFingerprint(int Number) {
  return requestFingerprint("w", "GET", "/p", std::to_string(Number));
}

} // namespace

// Guards against suspecting a request because of lost connections alone: fewer
// than three at once, and no refused connection to that server within 2 s.
TEST_CASE("Isolated lost connections are not reported as a crash") {
  CrashGuard Guard("a");
  CHECK(Guard.connectionEnded(CrashingFingerprint, "s", Start, Start).empty());
  CHECK(
      Guard.connectionEnded(numberedFingerprint(1), "s", Start, Start).empty());
  CHECK(Guard.connectionEnded(numberedFingerprint(2), "s", Start, Start + 1s)
            .empty());
  CHECK(Guard.connectionEnded(numberedFingerprint(3), "t", Start, Start + 1s)
            .empty());
  CHECK(Guard.connectionRefused("u", Start + 1s).empty());
  CHECK(Guard.connectionRefused("s", Start + 4s).empty());
  CHECK(Guard.check(CrashingFingerprint, Start) == Verdict::Allowed);
}

// Guards against missing a crash that shows as a refused connection or as three
// lost requests at once, and against counting it twice.
TEST_CASE(
    "A refused connection or three simultaneous losses count as one crash") {
  CrashGuard AfterRefusal("a"), AfterSimultaneousEnds("b");
  AfterRefusal.connectionEnded(CrashingFingerprint, "s", Start, Start);
  CHECK(AfterRefusal.connectionRefused("s", Start + 1s).size() == 1);
  CHECK(AfterRefusal.check(CrashingFingerprint, Start + 1s) ==
        Verdict::Suspect);
  AfterSimultaneousEnds.connectionEnded(CrashingFingerprint, "s", Start, Start);
  AfterSimultaneousEnds.connectionEnded(numberedFingerprint(1), "s", Start,
                                        Start + 50ms);
  CHECK(AfterSimultaneousEnds
            .connectionEnded(numberedFingerprint(2), "s", Start, Start + 90ms)
            .size() == 3);
  // Late and repeated reports count as the same crash.
  AfterSimultaneousEnds.connectionEnded(CrashingFingerprint, "s", Start,
                                        Start + 5s);
  AfterSimultaneousEnds.connectionRefused("s", Start + 5s);
  CHECK(AfterSimultaneousEnds.check(CrashingFingerprint, Start + 5s) ==
        Verdict::Suspect);
}

// Guards against taking a second crash for a late report of the first, and
// against suspecting requests that were lost together with a known suspect.
TEST_CASE("Only the suspect is blocked after a second crash, for 10 min") {
  CrashGuard Guard("a");
  Guard.connectionEnded(CrashingFingerprint, "s", Start, Start);
  Guard.connectionRefused("s", Start);
  const auto Later = Start + 500ms;
  Guard.connectionEnded(CrashingFingerprint, "s", Start + 100ms, Later);
  Guard.connectionEnded(numberedFingerprint(1), "s", Start + 100ms, Later);
  Guard.connectionEnded(numberedFingerprint(2), "s", Start + 100ms, Later);
  CHECK(Guard.check(CrashingFingerprint, Later) == Verdict::Blocked);
  CHECK(Guard.check(numberedFingerprint(1), Later) == Verdict::Allowed);
  CHECK(Guard.check(CrashingFingerprint, Later + 599s) == Verdict::Blocked);
  CHECK(Guard.check(CrashingFingerprint, Later + 600s) == Verdict::Allowed);
  CHECK_FALSE(Guard.requestCompleted(CrashingFingerprint, Later));
  CHECK(Guard.clear(CrashingFingerprint, Later));
  CHECK(Guard.check(CrashingFingerprint, Later) == Verdict::Allowed);
}

// Guards against concurrent runs of suspects, which could crash two servers or
// attribute the crash to the wrong request.
TEST_CASE("A suspect has one trial at a time, and a server runs one trial") {
  CrashGuard Guard("a");
  CHECK(Guard.beginTrial(CrashingFingerprint, "s", Start + 10s, Start));
  CHECK_FALSE(Guard.beginTrial(CrashingFingerprint, "t", Start + 10s, Start));
  CHECK_FALSE(
      Guard.beginTrial(numberedFingerprint(1), "s", Start + 10s, Start));
  CHECK(Guard.beginTrial(numberedFingerprint(1), "t", Start + 10s, Start));
  Guard.endTrial(CrashingFingerprint);
  CHECK(Guard.beginTrial(numberedFingerprint(2), "s", Start + 10s, Start));
  CHECK(
      Guard.beginTrial(numberedFingerprint(3), "s", Start + 20s, Start + 10s));
}

// Guards against malformed messages that are accepted, and against a delayed
// message that makes a cleared request a suspect again.
TEST_CASE("Malformed messages are rejected and outdated ones have no effect") {
  CrashGuard First("a"), Second("b");
  First.connectionEnded(CrashingFingerprint, "s", Start, Start);
  const auto Update = First.connectionRefused("s", Start);
  REQUIRE(Update.size() == 1);
  const auto Text = encodeSuspect(Update[0], Start);
  const auto Read = decodeSuspect(Text, Start);
  REQUIRE(Read);
  CHECK(Read->Record.Crashes == Update[0].Record.Crashes);
  const auto Cleared = First.requestCompleted(CrashingFingerprint, Start + 1s);
  REQUIRE(Cleared);
  Second.merge(*Cleared, Start + 1s);
  Second.merge(*Read, Start + 1s);
  CHECK(Second.check(CrashingFingerprint, Start + 1s) == Verdict::Allowed);

  for (
      const char *Change :
      {R"({"fingerprint": 1})", R"({"fingerprint": "xyz"})", R"({"more": 1})",
       R"({"crashes": null})", R"({"crashes": {"c": 600001}})",
       R"({"crashes": {"c": -1}})", R"({"cleared": {"": 1}})",
       R"({"crashes": {"1":1,"2":1,"3":1,"4":1,"5":1,"6":1,"7":1,"8":1,"9":1}})"}) {
    auto Broken = Text;
    Broken.update(nlohmann::json::parse(Change));
    INFO(Broken.dump());
    CHECK_FALSE(decodeSuspect(Broken, Start));
  }
  CHECK_FALSE(decodeSuspect(nlohmann::json::array(), Start));
}

// Guards against unbounded memory use when many different requests are lost in
// crashes.
TEST_CASE("The number of records is bounded and the newest are kept") {
  CrashGuard Guard("a");
  const int Count = static_cast<int>(CrashGuard::MaxFingerprints) + 100;
  for (int I = 0; I < Count; ++I) {
    const auto Now = Start + std::chrono::milliseconds(I);
    Guard.connectionEnded(numberedFingerprint(I), "s" + std::to_string(I % 50),
                          Now, Now);
    Guard.connectionRefused("s" + std::to_string(I % 50), Now);
  }
  CHECK(Guard.size() == CrashGuard::MaxFingerprints);
  CHECK(Guard.check(numberedFingerprint(Count - 1), Start + 10s) ==
        Verdict::Suspect);
  CHECK(Guard.check(numberedFingerprint(0), Start + 10s) == Verdict::Allowed);
}

// Guards against instances that hold different records after they received the
// same messages in another order or repeatedly.
TEST_CASE("Merging records does not depend on order or repetition") {
  checkSeeded(20260705, 300, [](std::uint64_t Seed) {
    RandomEngine Engine(Seed);
    std::vector<SuspectRecord> Parts(6);
    for (auto &Part : Parts)
      for (int I = 0; I < 5; ++I) {
        const auto Until = Start + std::chrono::seconds(Engine() % 20);
        auto &Target = Engine() % 2 ? Part.Crashes : Part.Cleared;
        Target[std::to_string(Engine() % 16)] = Until;
      }
    SuspectRecord Left, Right;
    for (const auto &Part : Parts)
      Left.merge(Part);
    std::shuffle(Parts.begin(), Parts.end(), Engine);
    for (const auto &Part : Parts) {
      Right.merge(Part);
      Right.merge(Parts[Engine() % Parts.size()]);
    }
    for (const auto &Part : Parts)
      Right.merge(Part);
    RC_ASSERT(Left.Crashes == Right.Crashes);
    RC_ASSERT(Left.Cleared == Right.Cleared);
  });
}

namespace {

// 12 instances that own 14 servers; messages are reordered and repeated.
struct Fleet {
  RandomEngine Engine;
  std::vector<CrashGuard> Guards;
  std::vector<std::string> Names;
  Clock::time_point Now = Start;
  int NextBystander = 0;

  explicit Fleet(std::uint64_t Seed) : Engine(Seed) {
    for (int I = 0; I < 12; ++I) {
      this->Names.push_back("i" + std::to_string(I));
      this->Guards.emplace_back(this->Names.back());
    }
  }

  CrashGuard &guardByName(const std::string &Name) {
    const auto Found = std::find(this->Names.begin(), this->Names.end(), Name);
    return this->Guards[static_cast<std::size_t>(Found - this->Names.begin())];
  }

  void publish(std::vector<SuspectMessage> Update) {
    const std::vector<SuspectMessage> Copy = Update;
    Update.insert(Update.end(), Copy.begin(), Copy.end());
    for (CrashGuard &Guard : this->Guards) {
      std::shuffle(Update.begin(), Update.end(), this->Engine);
      for (const auto &Item : Update)
        Guard.merge(*decodeSuspect(encodeSuspect(Item, this->Now), this->Now),
                    this->Now);
    }
  }

  // Ends all requests on a server and reports them to its owner in random
  // order.
  void crash(unsigned Server, std::vector<std::string> LostRequests) {
    std::shuffle(LostRequests.begin(), LostRequests.end(), this->Engine);
    CrashGuard &Owner = this->Guards[Server % 12];
    const std::string Name = "s" + std::to_string(Server);
    const auto Sent = this->Now;
    std::vector<SuspectMessage> Update;
    for (const auto &Item : LostRequests) {
      this->Now += std::chrono::milliseconds(this->Engine() % 10);
      const auto Messages = Owner.connectionEnded(Item, Name, Sent, this->Now);
      Update.insert(Update.end(), Messages.begin(), Messages.end());
    }
    if (LostRequests.size() < 3 || this->Engine() % 2) {
      const auto Messages = Owner.connectionRefused(Name, this->Now);
      Update.insert(Update.end(), Messages.begin(), Messages.end());
    }
    this->publish(Update);
    this->Now += std::chrono::milliseconds(1 + this->Engine() % 3000);
  }

  std::vector<std::string> bystanders() {
    std::vector<std::string> Result;
    for (auto Count = this->Engine() % 9; Count > 0; --Count)
      Result.push_back(numberedFingerprint(this->NextBystander++));
    return Result;
  }

  // Sends the lost requests again; returns the number of refusals.
  int resend(const std::vector<std::string> &Fingerprints) {
    int Refused = 0;
    for (const auto &Item : Fingerprints) {
      CrashGuard &EntryGuard = this->Guards[this->Engine() % 12];
      Refused += EntryGuard.check(Item, this->Now) == Verdict::Blocked;
      CrashGuard &TrialGuard = this->guardByName(trialOwner(Item, this->Names));
      if (const auto Cleared = TrialGuard.requestCompleted(Item, this->Now))
        this->publish({*Cleared});
      Refused += EntryGuard.check(Item, this->Now) != Verdict::Allowed;
    }
    return Refused;
  }
};

} // namespace

// Guards against a crash-causing request that is retried on server after
// server, and against ordinary crashes that block the requests lost in them.
TEST_CASE("A crash-causing request crashes only two servers of the fleet") {
  checkSeeded(20260706, 200, [](std::uint64_t Seed) {
    Fleet Fleet(Seed);
    int Crashes = 0;
    for (int Round = 0; Round < 20; ++Round) {
      const auto Others = Fleet.bystanders();
      const auto Server = static_cast<unsigned>(Fleet.Engine() % 14);
      if (Fleet.Engine() % 3 == 0) {
        Fleet.crash(Server, Others);
        RC_ASSERT(Fleet.resend(Others) == 0);
      }
      CrashGuard &EntryGuard = Fleet.Guards[Fleet.Engine() % 12];
      if (EntryGuard.check(CrashingFingerprint, Fleet.Now) == Verdict::Blocked)
        continue;
      ++Crashes;
      auto LostRequests = Fleet.bystanders();
      const auto Bystanders = LostRequests;
      LostRequests.push_back(CrashingFingerprint);
      Fleet.crash(Server, LostRequests);
      RC_ASSERT(Fleet.resend(Bystanders) == 0);
    }
    RC_ASSERT(Crashes == 2);
  });
}
