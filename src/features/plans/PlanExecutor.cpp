#include "plans/PlanExecutor.h"

#include "logging/EventLog.h"
#include "model/FleetConfig.h"
#include "plans/PlanDecision.h"
#include "plans/PlanEdits.h"

#include <utility>

namespace rr {

namespace {

using namespace std::chrono_literals;

// Ends a bad version within 5 s together with the heartbeat of 1 s and the
// propagation of 1 s; two reads a second and active plan.
constexpr Clock::duration PollInterval = 500ms;
// Enough headroom for this long ends a pause; a single good report may be one
// that is late.
constexpr Clock::duration HeadroomHold = 5s;
// Reports come each second; older ones say nothing about the last step.
constexpr Clock::duration OldestLoad = 10s;
// Bounds the plan's row. The audit rows keep the whole history.
constexpr std::size_t LongestHistory = 50;

void addHistory(Plan &Current, StateChange Change) {
  // The first entry holds the time of the proposal, the second that of the
  // confirmation.
  if (Current.History.size() >= LongestHistory)
    Current.History.erase(Current.History.begin() + 2);
  Current.History.push_back(std::move(Change));
}

void applyStep(Plan &Next, const PlanMove &Move, WallTime Now) {
  Next.State = PlanState::Running;
  Next.Share = Move.Share;
  Next.LastStepAt = Now;
  if (Move.TurnsBack) {
    Next.TakingBack = true;
    Next.BackAtOnce = Move.AtOnce;
    Next.BackReason = Move.Reason;
  }
  if (!Next.TakingBack)
    ++Next.StepsDone;
}

} // namespace

PlanExecutor::PlanExecutor(const asio::any_io_executor &Executor,
                           PlanStore &Plans, const PlanServices &Services)
    : Plans(Plans), Services(Services), Stopped(Executor) {}

asio::awaitable<void> PlanExecutor::run() {
  while (!this->Stopped.isSet()) {
    co_await this->advanceAll();
    co_await this->Stopped.waitUntil(Clock::now() + PollInterval);
  }
}

asio::awaitable<void> PlanExecutor::advanceAll() {
  if (!this->Services.FenceCheck()) {
    this->Watches.clear();
    co_return;
  }
  const auto Active = co_await this->Plans.activeIds();
  if (!Active)
    co_return;
  std::erase_if(this->Watches,
                [&](const auto &Item) { return !Active->count(Item.first); });
  for (const std::string &Id : *Active)
    co_await this->advance(Id);
}

asio::awaitable<void> PlanExecutor::advance(std::string Id) {
  auto From = co_await this->Plans.read(Id);
  if (!From || !isActive(From->Current.State))
    co_return;
  const Plan &Current = From->Current;
  const auto Config = this->Services.CurrentConfig();
  if (Config->Version < Current.Applied.Config) {
    this->Watches[Id].Waiting = "this instance has not got the last step yet";
    co_return;
  }
  BarrierReport Barrier{true, {}};
  if (Current.Applied.isSet())
    Barrier = co_await this->Services.AwaitBarrier(Current.Applied, 0s);
  Watch &Own = this->Watches[Id];
  const PlanView View = this->viewOf(Current, *Config, Barrier, Own);
  const PlanMove Move = decide(Current, View);
  Own.Waiting = Move.Action == PlanMove::Kind::Wait ? Move.Reason : "";
  if (Move.Action != PlanMove::Kind::Wait)
    co_await this->carryOut(*From, Move, Config);
}

asio::awaitable<void>
PlanExecutor::carryOut(PlanRecord From, PlanMove Move,
                       std::shared_ptr<const FleetConfig> Config) {
  PlanChange Change;
  Change.Fence = this->Services.FenceCheck();
  if (!Change.Fence)
    co_return;
  Change.From = From;
  Change.Next = From.Current;
  Change.By = this->Services.Self;
  Change.Reason = Move.Reason;
  Plan &Next = Change.Next;
  const WallTime Now = this->Services.WallNow();
  if (Move.Action == PlanMove::Kind::Step) {
    applyStep(Next, Move, Now);
    ControlChange Control;
    Control.BaseVersion = Config->Version;
    Control.Config = *Config;
    applyShare(*Control.Config, Next, Move.Share);
    Change.Control = std::move(Control);
  } else if (Move.Action == PlanMove::Kind::End) {
    Next.State = Move.Ended;
    Next.Result = Move.Reason;
    if (Move.Ended == PlanState::Finished &&
        std::holds_alternative<RollOutVersion>(Next.Wish)) {
      ControlChange Control;
      Control.BaseVersion = Config->Version;
      Control.Config = *Config;
      completeRollout(*Control.Config, Next);
      Change.Control = std::move(Control);
    }
  } else {
    const bool Pauses = Move.Action == PlanMove::Kind::Pause;
    Next.State = Pauses ? PlanState::Paused : PlanState::Running;
  }
  addHistory(Next, {Next.State, Now, Change.By, Change.Reason});
  // An outcome that is not known is found in the rows on the next look, and a
  // conflict means that they have changed.
  const Plan Written = Change.Next;
  if (!co_await this->Plans.apply(std::move(Change)))
    co_return;
  if (isEnded(Written.State))
    logEvent(Event::PlanEnded, {{"plan", Written.Id},
                                {"state", nameOf(Written.State)},
                                {"result", Written.Result}});
  else if (Written.State == PlanState::Paused)
    logEvent(Event::PlanPaused,
             {{"plan", Written.Id}, {"reason", Move.Reason}});
}

std::optional<double> PlanExecutor::headroomOf(const Plan &Current) const {
  if (const auto *Wish = std::get_if<RollOutVersion>(&Current.Wish))
    return this->Services.VersionHeadroom(Wish->Service, Wish->Version);
  const auto *Wish = std::get_if<MoveTraffic>(&Current.Wish);
  if (!Wish)
    return std::nullopt;
  for (const RegionLoad &Item : this->Services.RegionLoads())
    if (Item.Region == Wish->ToRegion && Item.Capacity > 0 &&
        Item.Age <= OldestLoad)
      return 1 - Item.Load / Item.Capacity;
  return std::nullopt;
}

void PlanExecutor::watchRollout(const Plan &Current, const FleetConfig &Config,
                                Watch &Own, PlanView &View) {
  const auto *Wish = std::get_if<RollOutVersion>(&Current.Wish);
  const VersionSplit *Split = Wish ? findSplit(Config, Wish->Service) : nullptr;
  if (!Split)
    return;
  if (!Own.Rollout)
    Own.Rollout = std::make_unique<RolloutWatch>(
        Current.Id, Split->StableVersion, Wish->Version);
  Own.Rollout->enterStage(Current.StepsDone);
  Own.Rollout->update(this->Services.VersionReports(Wish->Service),
                      Clock::now());
  View.StageRequests = Own.Rollout->requestsInStage();
  if (const auto Stop = this->Services.StopOf(Current.Id))
    View.Bad = Stop->Reason + " (seen by " + Stop->Instance + ")";
  else
    View.Bad = Own.Rollout->evidence();
}

PlanView PlanExecutor::viewOf(const Plan &Current, const FleetConfig &Config,
                              BarrierReport Barrier, Watch &Own) {
  PlanView View{Config, this->Services.WallNow(), std::move(Barrier),
                this->headroomOf(Current)};
  if (!View.Headroom || *View.Headroom < LeastHeadroom)
    Own.HeadroomSince.reset();
  else if (!Own.HeadroomSince)
    Own.HeadroomSince = Clock::now();
  View.HeadroomHeld =
      Own.HeadroomSince && Clock::now() - *Own.HeadroomSince >= HeadroomHold;
  if (const auto *Wish = std::get_if<DrainServer>(&Current.Wish))
    View.Outstanding = this->Services.Outstanding(Wish->Server);
  this->watchRollout(Current, Config, Own, View);
  return View;
}

std::string PlanExecutor::waitingFor(const std::string &Id) const {
  const auto Found = this->Watches.find(Id);
  return Found == this->Watches.end() ? std::string() : Found->second.Waiting;
}

} // namespace rr
