#include "gateway/FleetTestBed.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const std::string CrashingBody = "crash";
constexpr std::size_t InstanceCount = 4;
/// Crashes after which the request must be stopped.
constexpr std::size_t MaxCrashes = 3;
/// Time for the instances to learn of the last crash.
constexpr Clock::duration ContactTime = 3s;
/// Retries that may reach a server after that time.
constexpr std::ptrdiff_t MaxLateRetries = 3;

struct CrashBed : FleetTestBed {
  CrashBed() : FleetTestBed(InstanceCount) {
    for (int Number = 0; Number < 6; ++Number)
      this->addServer("s" + std::to_string(Number));
    this->CrashingBody = ::CrashingBody;
    this->advance(2s);
  }

  /// Crashes of which the request was sent later than \p Delay after the last
  /// permitted one.
  std::ptrdiff_t lateCrashes(Clock::duration Delay) const {
    if (this->Crashes.size() < MaxCrashes)
      return 0;
    const Clock::time_point From = this->Crashes[MaxCrashes - 1] + Delay;
    return std::count_if(this->Crashes.begin(), this->Crashes.end(),
                         [&](Clock::time_point Time) { return Time > From; });
  }

  /// Sends the crashing request \p Count times, to one instance after the
  /// other.
  void sendCrashing(const std::string &Path, int Count,
                    Clock::duration Interval) {
    for (int Index = 0; Index < Count; ++Index) {
      this->request(std::size_t(Index) % this->Instances.size(), Path,
                    ::CrashingBody);
      this->advance(Interval);
    }
  }
};

} // namespace

// Guards against a request that crashes a server each time it returns.
TEST_CASE("A request that crashed three servers is stopped on all instances",
          "[gateway]") {
  CrashBed Bed;
  const std::string Path = GENERATE("/order/x", "/safe/x");
  Bed.sendCrashing(Path, 40, 400ms);
  CHECK_FALSE(Bed.Crashes.empty());
  CHECK(Bed.lateCrashes(ContactTime) <= MaxLateRetries);
}

// Guards against an instance that starts later and sends the request on.
TEST_CASE("An instance that starts after the crashes refuses the request",
          "[gateway]") {
  CrashBed Bed;
  Bed.sendCrashing("/safe/x", 20, 400ms);
  const std::size_t Crashes = Bed.Crashes.size();
  Bed.addInstance();
  const auto Answer = Bed.request(InstanceCount, "/safe/x", ::CrashingBody);
  CHECK(Answer.Status == 503);
  CHECK(Bed.Crashes.size() == Crashes);
  CHECK(Bed.request(InstanceCount, "/safe/x", "harmless").Status == 200);
}

// Guards against refusing requests that were lost beside a crashing one.
TEST_CASE("A request that is lost in crashes of others and answered in between "
          "is not refused",
          "[gateway]") {
  CrashBed Bed;
  Bed.WorkTime = 300ms;
  int Lost = 0;
  for (std::size_t Index = 0; Index < 30; ++Index) {
    std::vector<std::shared_ptr<FleetTestBed::Call>> Calls;
    for (std::size_t At = 0; At < InstanceCount; ++At)
      Calls.push_back(Bed.send(At, "/order/x", "bystander"));
    Bed.advance(50ms);
    // Another request crashes servers each time, so none is stopped.
    Bed.CrashingBody = ::CrashingBody + std::to_string(Index);
    if (Index % 2 == 0)
      Bed.request(Index % InstanceCount, "/order/x", Bed.CrashingBody);
    Bed.advance(600ms);
    for (const auto &Call : Calls) {
      CHECK(Call->Status != 503);
      Lost += Call->Status == 502 ? 1 : 0;
    }
  }
  CHECK(Bed.Crashes.size() == 15);
  CHECK(Lost > int(MaxCrashes));
}

// Guards against taking the loss of connections for a crash.
TEST_CASE(
    "Requests whose connections end at servers that run are not suspected",
    "[gateway]") {
  CrashBed Bed;
  Bed.ResetConnections = true;
  for (std::size_t Index = 0; Index < 12; ++Index) {
    Bed.request(Index % InstanceCount, "/order/x", "reset");
    Bed.advance(400ms);
  }
  Bed.ResetConnections = false;
  CHECK(Bed.request(0, "/order/x", "reset").Status == 200);
  for (const auto &Instance : Bed.Instances)
    CHECK(Instance->state().Suspects.empty());
}

// Guards against suspecting requests that ran when a leaving server ended.
TEST_CASE("Requests that are lost with servers that were draining are not "
          "suspected",
          "[gateway]") {
  CrashBed Bed;
  Bed.WorkTime = 1300ms;
  for (std::size_t Round = 0; Round < 3; ++Round) {
    const auto Call = Bed.send(0, "/order/x", "long");
    Bed.advance(50ms);
    for (const auto &[Id, Server] : Bed.Servers)
      if (Server.Http && !Server.Arrivals.empty())
        Bed.Tables.put("backends", Id, Server.Address + " z-a draining");
    Bed.advance(1100ms);
    const auto Servers = Bed.ids();
    for (const std::string &Id : Servers)
      if (Bed.Servers.at(Id).Http && !Bed.Servers.at(Id).Arrivals.empty())
        Bed.crash(Id);
    Bed.advance(400ms);
    CHECK(Call->Status == 502);
  }
  CHECK(Bed.Crashes.size() == 3);
  CHECK(Bed.Instances[0]->state().Suspects.empty());
}
