#include "SimFleet.h"

#include "configuration/ConfigProposal.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>

using namespace rr;
using namespace std::chrono_literals;
using Process = SimFleet::Process;

namespace {

// One seed, so that the verdict is the same on every run. RC_PARAMS in the
// environment takes precedence, for longer searches.
const int SeedIsSet =
    setenv("RC_PARAMS", "seed=20261204 max_success=150 max_size=60", 0);

constexpr std::size_t Instances = 6;
constexpr std::size_t Keys = 24;

enum class Action {
  Advance,
  Withdraw,
  ToggleStore,
  CutStore,
  Split,
  Heal,
  Pause,
  Resume,
  Restart,
  End,
  SilenceHost,
  ChangeConfig,
  /// One instance loses its peers and the store.
  Isolate,
  /// Everything works again, with time to recover.
  Repair,
};

struct Step {
  Action What = Action::Advance;
  std::size_t Index = 0;
  int Amount = 0;
};

std::ostream &operator<<(std::ostream &Out, const Step &Item) {
  return Out << "{" << static_cast<int>(Item.What) << "," << Item.Index << ","
             << Item.Amount << "}";
}

rc::Gen<Step> anyStep() {
  // Time has to pass between most of the other steps, and faults have to end
  // again: a fleet that is mostly broken accepts no withdrawal.
  const auto What = rc::gen::weightedElement<Action>({{14, Action::Advance},
                                                      {8, Action::Withdraw},
                                                      {2, Action::ToggleStore},
                                                      {2, Action::CutStore},
                                                      {2, Action::Split},
                                                      {2, Action::Heal},
                                                      {3, Action::Pause},
                                                      {3, Action::Resume},
                                                      {2, Action::Restart},
                                                      {1, Action::End},
                                                      {1, Action::SilenceHost},
                                                      {2, Action::ChangeConfig},
                                                      {3, Action::Isolate},
                                                      {4, Action::Repair}});
  return rc::gen::build<Step>(
      rc::gen::set(&Step::What, What),
      rc::gen::set(&Step::Index, rc::gen::inRange<std::size_t>(0, Instances)),
      rc::gen::set(&Step::Amount, rc::gen::inRange(0, 64)));
}

void changeConfig(SimFleet &Fleet, SimFleet::Instance &Item) {
  ConfigProposal Proposal;
  Proposal.BaseVersion = Item.Node->config().version();
  const Platform Calls = Fleet.Store.platform(&Item.StoreCut);
  Fleet.Loop.spawn([Calls, Proposal]() -> asio::awaitable<void> {
    static_cast<void>(co_await proposeChange(Calls, Proposal));
  });
}

void repairAll(SimFleet &Fleet) {
  Fleet.Store.Down = false;
  Fleet.Store.LoseAnswers = 0;
  for (std::size_t I = 0; I < Instances; ++I) {
    SimFleet::Instance &Item = Fleet.Instances[I];
    Item.Group = 0;
    Item.StoreCut = false;
    if (Item.State == Process::Paused)
      Item.State = Process::Running;
    else if (Item.State != Process::Running)
      Fleet.start(I);
  }
}

void apply(SimFleet &Fleet, const Step &Item) {
  SimFleet::Instance &Target = Fleet.Instances[Item.Index];
  switch (Item.What) {
  case Action::Advance:
    Fleet.advance(100ms * (1 + Item.Amount / 2));
    break;
  case Action::Withdraw:
    // The last key is never withdrawn; it shows that traffic comes back.
    Fleet.withdraw(Item.Index,
                   "key" + std::to_string(Item.Amount % (Keys - 1)));
    break;
  case Action::ToggleStore:
    Fleet.Store.Down = !Fleet.Store.Down;
    Fleet.Store.LoseAnswers = Item.Amount % 3;
    break;
  case Action::CutStore:
    Target.StoreCut = !Target.StoreCut;
    break;
  case Action::Split:
    for (std::size_t I = 0; I < Instances; ++I)
      Fleet.Instances[I].Group = (Item.Amount >> I) & 1;
    break;
  case Action::Heal:
    for (SimFleet::Instance &Other : Fleet.Instances)
      Other.Group = 0;
    break;
  case Action::Pause:
    if (Target.State == Process::Running)
      Target.State = Process::Paused;
    break;
  case Action::Resume:
    for (SimFleet::Instance &Other : Fleet.Instances)
      if (Other.State == Process::Paused)
        Other.State = Process::Running;
    break;
  case Action::Restart:
    Fleet.start(Item.Index);
    break;
  case Action::End:
    Fleet.end(Item.Index);
    break;
  case Action::SilenceHost:
    Fleet.end(Item.Index, true);
    break;
  case Action::Isolate:
    Target.Group = 2 + static_cast<int>(Item.Index);
    Target.StoreCut = true;
    break;
  case Action::Repair:
    repairAll(Fleet);
    Fleet.advance(3s);
    break;
  case Action::ChangeConfig:
    if (Target.State == Process::Running)
      changeConfig(Fleet, Target);
    break;
  }
}

} // namespace

// Guards against every way in which an instance could serve a withdrawn key
// for more than 5 s, against a configuration that reverts, and against a fleet
// that does not recover.
TEST_CASE("No instance serves a withdrawn key longer than 5 s") {
  Clock::duration Longest{0};
  CHECK(rc::check("withdrawals hold through faults", [&]() {
    const auto Steps = *rc::gen::container<std::vector<Step>>(anyStep());
    SimFleet Fleet(Instances, Keys);
    Fleet.advance(4s);
    for (const Step &Item : Steps) {
      apply(Fleet, Item);
      // A resumed process serves before it reads its messages.
      Fleet.check();
      Fleet.advance(50ms);
      if (!Fleet.Violation.empty())
        RC_FAIL(Fleet.Violation);
    }
    repairAll(Fleet);
    Fleet.advance(15s);
    Longest = std::max(Longest, Fleet.LongestServed);
    if (!Fleet.Violation.empty())
      RC_FAIL(Fleet.Violation);
    // Partitions that meet agree.
    for (std::size_t I = 0; I < Instances; ++I) {
      const ControlNode &Node = *Fleet.Instances[I].Node;
      RC_ASSERT(Node.config().version() ==
                Fleet.Instances[0].Node->config().version());
      RC_ASSERT(Node.keys().version() ==
                Fleet.Instances[0].Node->keys().version());
      RC_ASSERT(Node.keys().pending().empty());
    }
    RC_ASSERT(Fleet.allServe("key" + std::to_string(Keys - 1)));
  }));
  WARN("longest service after acceptance: "
       << std::chrono::duration_cast<std::chrono::milliseconds>(Longest).count()
       << " ms");
}
