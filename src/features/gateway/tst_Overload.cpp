#include "gateway/LoadMessages.h"
#include "gateway/MemberCodec.h"
#include "gateway/OverloadSignal.h"
#include "gateway/StandbyBed.h"
#include "links/PeerLinks.h"
#include "testing/TestLoop.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// A standby beside two large instances, of which the first can be overloaded.
struct ReliefBed : StandbyBed {
  using StandbyBed::StandbyBed;

  void putOverloaded(bool Overloaded) {
    this->putLarge();
    MemberRecord Record =
        *decodeMember(*this->Tables.find("redwingrack", "instance/large1"));
    if (Overloaded)
      Record.Distressed = Record.WrittenAt;
    this->Tables.put("redwingrack", "instance/large1", encodeMember(Record));
  }
  void advanceSeconds(int Seconds, bool Overloaded) {
    for (int Second = 0; Second < Seconds; ++Second) {
      this->putOverloaded(Overloaded);
      this->advance(1s);
    }
  }
};

/// An instance with few descriptors, beside another one of its zone.
struct SmallBed : TwoServerBed {
  SmallBed() : TwoServerBed(1, 64) {
    this->start();
    this->keepOther();
    this->advance(100ms);
  }

  /// Writes the row of another large instance.
  void keepOther() {
    MemberRecord Record;
    Record.Name = "other";
    Record.Zone = "z-a";
    Record.Region = "z";
    Record.Address = "127.0.0.1:1";
    Record.WrittenAt = Clock::now().time_since_epoch();
    this->Tables.put("redwingrack", "instance/other", encodeMember(Record));
  }
  void advanceSeconds(int Seconds) {
    for (int Second = 0; Second < Seconds; ++Second) {
      this->keepOther();
      this->advance(1s);
    }
  }
  /// Opens connections until \p Fraction of those of callers are in use.
  void occupy(double Fraction) {
    const ConnectionBudget &Budget = *this->Instance->state().Connections;
    while (double(Budget.used(ConnectionUse::Callers)) <=
           Fraction * double(Budget.limit(ConnectionUse::Callers))) {
      this->Callers.emplace_back(this->Context, this->Instance->callerPort());
      this->advance(20ms);
    }
  }
  /// Closes the first \p Count connections.
  void leave(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      this->Callers[Index].close();
  }
  std::optional<Clock::duration> written() {
    return decodeMember(*this->Tables.find("redwingrack", "instance/i0"))
        ->Distressed;
  }
  std::string lookUp() {
    LoopbackClient Peer(this->Context, this->Instance->lookupPort());
    Peer.send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    for (int Step = 0; Step < 100 && !Peer.Ended; ++Step)
      this->advance(10ms);
    return Peer.Received;
  }
  bool namesItself() {
    // The instance announces the address of its settings.
    return this->lookUp().find("127.0.0.1:0\n") != std::string::npos;
  }

  std::deque<LoopbackClient> Callers;
};

/// The part of an instance that is needed for the overload signal.
struct SignalInstance {
  SignalInstance(TestLoop &Loop, const std::string &Name)
      : State(settingsOf(Name)),
        Links(Loop.context(), {Name, "z-a", "127.0.0.1:0"}),
        Signal(this->State, this->Links) {
    this->Signal.onChange([this] { ++this->Changes; });
    this->Links.start("secret");
  }

  static GatewaySettings settingsOf(const std::string &Name) {
    GatewaySettings Settings = testSettings();
    Settings.Name = Name;
    return Settings;
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->Links.port());
  }

  SteeringState State;
  PeerLinks Links;
  OverloadSignal Signal;
  int Changes = 0;
};

} // namespace

TEST_CASE("Rows and messages carry the overload", "[overload]") {
  MemberRecord Record;
  Record.Name = "i";
  CHECK_FALSE(decodeMember(encodeMember(Record))->Distressed);
  Record.Distressed = 1500ms;
  CHECK(decodeMember(encodeMember(Record))->Distressed == 1500ms);
  LoadNotice Notice{"i", "run", "z", 5s, {}};
  CHECK_FALSE(decodeLoadNotice(encodeLoadNotice(Notice))->Distressed);
  Notice.Distressed = 4s;
  const auto Decoded = decodeLoadNotice(encodeLoadNotice(Notice));
  REQUIRE(Decoded);
  CHECK(Decoded->Name == "i");
  CHECK(Decoded->Incarnation == "run");
  CHECK(Decoded->Region == "z");
  CHECK(Decoded->MadeAt == 5s);
  CHECK(Decoded->Distressed == 4s);
  CHECK_FALSE(decodeLoadNotice(""));
  // A time that overflows when it is compared with others.
  LoadNotice Odd = Notice;
  Odd.MadeAt = Clock::duration::max();
  CHECK_FALSE(decodeLoadNotice(encodeLoadNotice(Odd)));
  Odd = Notice;
  Odd.Distressed = Clock::duration::min();
  CHECK_FALSE(decodeLoadNotice(encodeLoadNotice(Odd)));
  CHECK_FALSE(decodeLoadNotice(encodeLoadNotice(Notice).substr(1)));
}

// Guards against standbys that stay idle beside instances that refuse callers.
TEST_CASE("A standby goes into service while a large instance is overloaded, "
          "and stays for at least 30 s",
          "[overload]") {
  ReliefBed B;
  REQUIRE(B.Instance->state().Standby);
  B.advanceSeconds(12, false);
  REQUIRE(B.Instance->state().Standby);
  B.advanceSeconds(11, true);
  CHECK_FALSE(B.Instance->state().Standby);
  B.advanceSeconds(30, true);
  CHECK_FALSE(B.Instance->state().Standby);
  B.advanceSeconds(25, false);
  CHECK_FALSE(B.Instance->state().Standby);
  B.advanceSeconds(10, false);
  CHECK(B.Instance->state().Standby);
}

// Guards against a standby that enters and leaves service again and again.
TEST_CASE(
    "A standby that is overloaded as soon as it is in service stays there",
    "[overload]") {
  ReliefBed B(64);
  B.advanceSeconds(12, true);
  REQUIRE_FALSE(B.Instance->state().Standby);
  std::deque<LoopbackClient> Callers;
  for (int Count = 0; Count < 24; ++Count)
    Callers.emplace_back(B.Context, B.Instance->callerPort());
  B.advance(100ms);
  CHECK(B.Instance->state().Distressed);
  for (int Second = 0; Second < 29; ++Second) {
    B.advanceSeconds(1, false);
    CHECK_FALSE(B.Instance->state().Standby);
  }
  for (LoopbackClient &Caller : Callers)
    Caller.close();
  B.advanceSeconds(20, false);
  CHECK_FALSE(B.Instance->state().Standby);
  B.advanceSeconds(20, false);
  CHECK(B.Instance->state().Standby);
}

// Guards against standbys that go into service although others already replace
// the overloaded capacity.
TEST_CASE("A standby stays idle if enough others went into service",
          "[overload]") {
  ReliefBed B;
  for (int Second = 0; Second < 20; ++Second) {
    MemberRecord Helper;
    Helper.Name = "helper";
    Helper.Zone = "z-a";
    Helper.Region = "z";
    Helper.Capacity = 0.2;
    Helper.WrittenAt = Clock::now().time_since_epoch();
    for (const char *Name : {"h1", "h2", "h3"}) {
      Helper.Name = Name;
      B.Tables.put("redwingrack", std::string("instance/") + Name,
                   encodeMember(Helper));
    }
    B.advanceSeconds(1, true);
  }
  CHECK(B.Instance->state().Standby);
}

// Guards against an announcement that comes too late for the burst that causes
// it.
TEST_CASE("An instance above 80% of its callers writes so in its row at once, "
          "and until 5 s after it is below 60%",
          "[overload]") {
  SmallBed B;
  B.advanceSeconds(6);
  B.occupy(0.5);
  CHECK_FALSE(B.written());
  CHECK(B.namesItself());
  B.occupy(0.8);
  B.advance(50ms);
  CHECK(B.written());
  CHECK_FALSE(B.namesItself());
  B.leave(B.Callers.size() / 4);
  B.advanceSeconds(10);
  CHECK(B.written());
  B.leave(B.Callers.size());
  B.advanceSeconds(4);
  CHECK(B.written());
  B.advanceSeconds(2);
  CHECK_FALSE(B.written());
  CHECK(B.namesItself());
}

// Guards against a signal that waits for the store, and against one that is
// never written once the store takes writes again.
TEST_CASE("An instance leaves itself out of look-ups while its row cannot be "
          "written, and writes it later",
          "[overload]") {
  SmallBed B;
  B.advanceSeconds(6);
  B.Tables.RefuseWrites = true;
  B.occupy(0.8);
  B.advance(50ms);
  CHECK_FALSE(B.written());
  CHECK(B.Instance->state().Distressed);
  CHECK_FALSE(B.namesItself());
  B.Tables.RefuseWrites = false;
  B.advance(1s);
  CHECK(B.written());
}

// Guards against a look-up without any instance.
TEST_CASE("An overloaded instance names itself if there is no other",
          "[overload]") {
  SmallBed B;
  B.Tables.erase("redwingrack", "instance/other");
  B.advance(3s);
  B.occupy(0.8);
  B.advance(50ms);
  REQUIRE(B.written());
  CHECK(B.namesItself());
}

// Guards against a signal that needs the store or a link to each instance.
TEST_CASE("A notice reaches the instances of the region over their links, also "
          "those without a link to its origin",
          "[overload]") {
  TestLoop Loop;
  SignalInstance First(Loop, "i1");
  SignalInstance Second(Loop, "i2");
  SignalInstance Third(Loop, "i3");
  for (SignalInstance *Item : {&First, &Second, &Third})
    for (const char *Name : {"i1", "i2", "i3"}) {
      MemberRecord Record;
      Record.Name = Name;
      Record.Incarnation = "run";
      Record.Zone = "z-a";
      Record.Region = "z";
      Item->State.Members.apply(Record);
    }
  First.Links.setDesiredPeers("test", {{"i2", Second.address()}});
  Third.Links.setDesiredPeers("test", {{"i2", Second.address()}});
  Loop.advance(2s);
  REQUIRE(Second.Links.linkCount() == 2);
  First.Signal.announce({"i1", "run", "z", 1s, 1s});
  Loop.advance(100ms);
  for (const SignalInstance *Item : {&Second, &Third}) {
    CHECK(Item->State.Members.records().at("i1").Distressed == 1s);
    CHECK(Item->Changes == 1);
  }
  // Another region has instances of its own.
  First.Signal.announce({"i1", "run", "y", 2s, {}});
  Loop.advance(100ms);
  CHECK(Second.Changes == 1);
  First.Signal.announce({"i1", "run", "z", 3s, {}});
  Loop.advance(100ms);
  CHECK_FALSE(Third.State.Members.records().at("i1").Distressed);
  CHECK(Third.Changes == 2);
}
