#include "base/Digest.h"
#include "base/Random.h"
#include "history/Checks.h"
#include "instance/InstanceFleet.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

constexpr Clock::duration RunTime = 60s;
constexpr Clock::duration FaultInterval = 4s;

/// One seeded run: requests and orders at random instances while faults come
/// and go and operators work.
class FaultyRun {
public:
  explicit FaultyRun(std::uint64_t Seed) : Random(Seed) {
    this->Fleet.bringUp();
    this->Fleet.Observer.keyIssued("k", "w");
  }

  std::vector<history::Violation> run() {
    const Clock::time_point End = Clock::now() + RunTime;
    Clock::time_point NextFault = Clock::now() + FaultInterval;
    while (Clock::now() < End) {
      if (Clock::now() >= NextFault) {
        this->toggleFault();
        NextFault += FaultInterval;
      }
      this->sendSomething();
      this->Fleet.advance(std::chrono::milliseconds(10 + this->pick(60)));
    }
    this->Fleet.advance(10s);
    return history::checkHistory(this->Fleet.Observer.Recorded);
  }

  InstanceFleet Fleet;

private:
  std::uint64_t pick(std::uint64_t Bound) { return this->Random() % Bound; }

  std::string runningInstance() {
    std::vector<std::string> Names;
    for (const auto &[Name, Item] : this->Fleet.Nodes)
      if (Item.Running)
        Names.push_back(Name);
    return Names[this->pick(Names.size())];
  }

  void sendSomething() {
    const std::string Instance = this->runningInstance();
    if (this->pick(4) > 0) {
      this->Fleet.begin(Instance, "/stock/" + std::to_string(this->pick(9)));
      return;
    }
    // Orders are repeated by their callers, through any instance.
    if (this->Orders == 0 || this->pick(3) > 0)
      ++this->Orders;
    const std::string Order = "o" + std::to_string(this->Orders);
    this->Fleet.begin(Instance, "/orders", "POST",
                      {{"Idempotency-Key", Order}, {"X-Request-Id", Order}});
  }

  void toggleFault() {
    auto &Node = this->Fleet.Nodes.at("b1x");
    auto &Server = this->Fleet.Servers.at("stock-3");
    switch (this->pick(8)) {
    case 0:
      this->Fleet.Store.Down = !this->Fleet.Store.Down;
      break;
    case 1:
      this->Fleet.Store.LoseAnswers = 2;
      break;
    case 2:
      Node.Group = 1 - Node.Group;
      break;
    case 3:
      Node.StoreCut = !Node.StoreCut;
      break;
    case 4:
      Server.Down = !Server.Down;
      break;
    case 5:
      Server.Silent = !Server.Silent;
      break;
    case 6:
      if (this->Fleet.Nodes.at("a1y").Running)
        this->Fleet.kill("a1y");
      else
        this->Fleet.start("a1y");
      break;
    default:
      this->setRate();
    }
  }

  void setRate() {
    this->Fleet.Patience = 5s;
    this->Fleet.carryOut(
        "a2x", intentText("set_rate", "\"workspace\":\"v\","
                                      "\"rate_per_second\":" +
                                          std::to_string(10 + this->pick(20)) +
                                          ",\"burst\":10"));
  }

  RandomEngine Random;
  int Orders = 0;
};

} // namespace

// Guards against any broken promise in concurrent runs under faults; the
// checker shares no code with what it checks.
TEST_CASE("Histories of seeded runs under faults break no promise") {
  const auto Seed = GENERATE(1, 2, 3, 4, 5, 6);
  FaultyRun Run(Seed);
  const auto Violations = Run.run();
  INFO("seed " << Seed << ", " << Run.Fleet.Observer.Recorded.Events.size()
               << " events");
  std::string Text;
  for (std::size_t I = 0; I < Violations.size() && I < 10; ++I)
    Text += describe(Violations[I]) + "\n";
  INFO(Text);
  CHECK(Violations.empty());
}
