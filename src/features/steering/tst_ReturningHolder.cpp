#include "steering/FaultInjectionFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

using namespace rr;
using namespace std::chrono_literals;

namespace {

constexpr double Rate = 100;
constexpr double Burst = 100;
constexpr Clock::duration Window = 5s;
const double Allowed = (Rate * 5 + Burst) * 1.1 + 20;

/// A holder that is away, and a workspace that sends little until some time
/// after the holder returned, and then more than its rate.
struct ReturnBed {
  ReturnBed(unsigned Seed, std::size_t Regions)
      : Fleet(Seed, 3 * Regions, Regions) {
    this->Workspace.Name = "w";
    this->Workspace.Rate = Rate;
    this->Workspace.Burst = Burst;
    // Instances read and write at different times.
    for (std::size_t Index = 0; Index < this->Fleet.Nodes.size(); ++Index) {
      FaultInjectionFleet::Node &Item = this->Fleet.Nodes[Index];
      Item.NextRead += (Seed * 370 + Index * 711) % 1900 * 1ms;
      Item.NextWrite += (Seed * 530 + Index * 917) % 1500 * 1ms;
    }
    this->send(2, 9s);
  }

  FaultInjectionFleet::Node &holder() {
    const FaultInjectionFleet::Node &Any = this->Fleet.Nodes.front();
    return *this->Fleet.find(
        this->Fleet.holderOf(Any, Any.Region, this->Workspace));
  }

  /// Sends \p PerSecond requests to each instance.
  void send(double PerSecond, Clock::duration Time) {
    const Clock::time_point Start = Clock::now();
    double Sent = 0;
    while (Clock::now() - Start < Time) {
      this->Fleet.step();
      this->Fleet.exchangeTokens(this->Workspace);
      const std::chrono::duration<double> Passed = Clock::now() - Start;
      for (; Sent < Passed.count() * PerSecond; ++Sent)
        for (FaultInjectionFleet::Node &Item : this->Fleet.Nodes)
          if (this->Fleet.admit(this->Workspace, Item))
            this->record();
    }
  }

  void record() {
    this->Admitted.push_back(Clock::now());
    while (this->Admitted.front() + Window <= Clock::now())
      this->Admitted.pop_front();
    this->Most = std::max(this->Most, this->Admitted.size());
  }

  FaultInjectionFleet Fleet;
  SteeringWorkspace Workspace;
  std::deque<Clock::time_point> Admitted;
  std::size_t Most = 0;
};

} // namespace

// Guards against two stocks of one workspace: that of a holder which was
// suspended or turned away by the store, and that of its substitute. Also
// against a stock which leaves no room for shares that change at different
// times when the workspace begins to send much.
TEST_CASE("A workspace stays within its rate when the holder of its tokens was "
          "away, and when it was not",
          "[quota]") {
  enum class Disturbance { None, TurnedAway, Suspended };
  const std::size_t Regions = GENERATE(1U, 3U);
  const Disturbance Kind = GENERATE(Disturbance::None, Disturbance::TurnedAway,
                                    Disturbance::Suspended);
  const unsigned Seed = GENERATE(2U, 3U, 7U, 15U);
  std::size_t Most = 0;
  for (Clock::duration Delay = 0s; Delay <= 6s; Delay += 300ms) {
    ReturnBed Bed(Seed, Regions);
    FaultInjectionFleet::Node &Holder = Bed.holder();
    const Clock::duration Away = Kind == Disturbance::TurnedAway ? 9s : 5s;
    if (Kind == Disturbance::TurnedAway)
      Holder.StoreCutUntil = Clock::now() + Away;
    if (Kind == Disturbance::Suspended)
      Holder.PausedUntil = Clock::now() + Away;
    Bed.send(2, Away + Delay);
    Bed.send(1.5 * Rate * 3 / double(Bed.Fleet.Nodes.size()), 6s);
    Most = std::max(Most, Bed.Most);
  }
  CAPTURE(Regions, int(Kind), Seed, Most);
  CHECK(double(Most) <= Allowed);
}

// Guards against a bound that is kept by refusing what the workspace may send:
// the stock is small while the holder changes, but the rate is not.
TEST_CASE("Requests within the rate are served while the holder of a "
          "workspace's tokens returns",
          "[quota]") {
  const std::size_t Regions = GENERATE(1U, 3U);
  const unsigned Seed = GENERATE(range(1U, 5U));
  ReturnBed Bed(Seed, Regions);
  Bed.holder().StoreCutUntil = Clock::now() + 9s;
  Bed.send(2, 9s);
  // The instance that returns serves after its share has begun.
  Bed.send(2, 2500ms);
  int Served = 0;
  const int Offered = 300;
  for (int Request = 0; Request < Offered; ++Request) {
    for (int Step = 0; Step < 2 && Request % 2; ++Step) {
      Bed.Fleet.step();
      Bed.Fleet.exchangeTokens(Bed.Workspace);
    }
    auto &Nodes = Bed.Fleet.Nodes;
    Served += Bed.Fleet.admit(Bed.Workspace,
                              Nodes[std::size_t(Request) % Nodes.size()]);
  }
  CAPTURE(Regions, Seed, Served);
  CHECK(Served >= Offered * 95 / 100);
}

// Guards against tokens that outlive the share with which they were collected.
TEST_CASE("A limiter drops its tokens when its share begins anew", "[quota]") {
  ReturnBed Bed(1, 1);
  FaultInjectionFleet::Node &Holder = Bed.holder();
  const Clock::time_point Now = Clock::now();
  const auto Tokens = [&] {
    return Holder.Quotas.grant("w", MaxAmount, Now).Amount;
  };
  const std::uint64_t Tenure = Holder.Eligibility.tenure();
  Holder.Quotas.beginTenure(Tenure, true, Now);
  CHECK(Tokens() > 30 * OneRequest);
  Holder.Quotas.beginTenure(Tenure + 1, true, Now);
  CHECK(Tokens() == 0);
  Holder.Quotas.deposit("w", 100 * OneRequest);
  // Nobody collected tokens with the share, so what a starting fleet has is
  // kept.
  Holder.Quotas.beginTenure(Tenure + 2, false, Now);
  CHECK(Tokens() > 5 * OneRequest);
}
