#include "plans/PlanStore.h"

#include "base/Digest.h"
#include "base/Timer.h"
#include "plans/ConfigDiff.h"
#include "plans/MakePlan.h"
#include "plans/PlanEdits.h"
#include "plans/PlanJson.h"
#include "plans/PlanRows.h"
#include "plans/PlanText.h"
#include "platform/PlatformCalls.h"

#include <algorithm>
#include <utility>

namespace rr {

namespace {

using namespace std::chrono_literals;

// A plan describes the loads at the time of its making.
constexpr std::chrono::minutes LongestProposal{30};
// The copy of the configuration follows the store within this time.
constexpr Clock::duration CopyDelay = 2s;
constexpr Clock::duration CopyPoll = 100ms;
// Steps of the executor may come between reading and writing a plan.
constexpr int MostEdits = 5;

PlanAnswer answer(std::error_code Error, std::vector<std::string> Reasons,
                  std::optional<Plan> Current = std::nullopt) {
  if (Error == Errc::Unknown)
    Reasons.emplace_back("the store gave no answer; ask for the plan's state");
  return {Error, std::move(Current), std::move(Reasons)};
}

std::string lastChange(const Plan &Current) {
  std::string Result = "the plan is " + std::string(nameOf(Current.State));
  if (!Current.History.empty())
    Result += " since " + formatWallTime(Current.History.back().At) + ", by " +
              Current.History.back().By;
  return Result;
}

bool isTakenBackInSteps(const Intent &Wish) {
  const auto *Drain = std::get_if<DrainServer>(&Wish);
  return !isImmediate(Wish) || (Drain && !Drain->Undo);
}

std::string stoppedAt(const Plan &Current) {
  return "Stopped by an operator: " +
         (Current.Changes.empty() ? std::string("the change")
                                  : Current.Changes.front()) +
         " stays at " + formatPercent(Current.Share) + ".";
}

} // namespace

PlanStore::PlanStore(const Platform &Store, const PlanServices &Services)
    : Store(Store), Services(Services) {}

asio::awaitable<Outcome<void>> PlanStore::apply(PlanChange Change) const {
  const WallTime Now = this->Services.WallNow();
  const std::string AuditKey = newAuditKey(Now);
  if (!Change.Control) {
    Transaction Writes = planWrites(Change, {}, AuditKey, Now);
    co_return co_await commitVerified(this->Store, std::move(Writes), AuditKey);
  }
  ControlChange Control = std::move(*Change.Control);
  Control.ProbeKey = AuditKey;
  Control.Extra = [Change, AuditKey, Now](const ControlMark &Mark) {
    return planWrites(Change, Mark, AuditKey, Now);
  };
  auto Result = co_await this->Services.Commit(std::move(Control));
  if (!Result)
    co_return tl::unexpected<std::error_code>(Result.error());
  co_return Outcome<void>();
}

asio::awaitable<PlanAnswer> PlanStore::propose(Intent Wish, std::string By) {
  const auto Config = this->Services.CurrentConfig();
  const WallTime Now = this->Services.WallNow();
  const PlanInputs Inputs{*Config, this->Services.RegionLoads(),
                          this->Services.WorkspaceLoads(), Now};
  std::vector<std::string> Problems;
  auto Made = makePlan(Wish, Inputs, Problems);
  if (!Made)
    co_return answer(Made.error(), std::move(Problems));
  Made->Id = newPlanId(Now);
  Made->History.push_back({PlanState::Proposed, Now, By, "proposed"});
  if (auto *Load = std::get_if<LoadDocument>(&Made->Wish)) {
    const std::string Hash = sha256Hex(Load->Document);
    const auto Kept =
        co_await this->Store.PutObject(documentName(Hash), Load->Document);
    if (!Kept)
      co_return answer(Kept.error(), {"the document could not be stored"});
    // A row is too small for a configuration.
    Load->Document = Hash;
  }
  PlanChange Change;
  Change.Next = *Made;
  Change.By = By;
  Change.Reason = "proposed";
  const auto Written = co_await this->apply(std::move(Change));
  if (!Written)
    co_return answer(Written.error(), {}, *Made);
  co_return answer({}, {}, *Made);
}

asio::awaitable<Outcome<PlanRecord>> PlanStore::read(std::string Id) const {
  const auto Found = co_await readRow(this->Store, planKey(Id));
  if (!Found)
    co_return tl::unexpected<std::error_code>(Found.error());
  if (!*Found)
    co_return failure(Errc::NotFound);
  auto Parsed = parsePlan((*Found)->Value);
  if (!Parsed)
    co_return tl::unexpected<std::error_code>(Parsed.error());
  PlanRecord Result{std::move(*Parsed), (*Found)->Version};
  co_return Result;
}

asio::awaitable<Outcome<std::vector<Plan>>> PlanStore::list() const {
  const auto Rows = co_await listRows(this->Store, planKey(""));
  if (!Rows)
    co_return tl::unexpected<std::error_code>(Rows.error());
  std::vector<Plan> Result;
  for (const Row &Item : *Rows)
    if (auto Parsed = parsePlan(Item.Value))
      Result.push_back(std::move(*Parsed));
  co_return Result;
}

asio::awaitable<Outcome<std::set<std::string>>> PlanStore::activeIds() const {
  const auto Rows = co_await listRows(this->Store, TargetPrefix);
  if (!Rows)
    co_return tl::unexpected<std::error_code>(Rows.error());
  std::set<std::string> Result;
  for (const Row &Item : *Rows) {
    const auto Value = nlohmann::json::parse(Item.Value, nullptr, false);
    if (Value.is_object() && Value.contains("plan"))
      Result.insert(Value["plan"].get<std::string>());
  }
  co_return Result;
}

asio::awaitable<Outcome<ControlChange>>
PlanStore::controlOf(const Plan &Current) const {
  ControlChange Result;
  Result.BaseVersion = Current.BaseVersion;
  if (const auto *Wish = std::get_if<IssueKey>(&Current.Wish)) {
    Result.Key = KeyChange{Wish->KeyHash, Wish->Workspace};
  } else if (const auto *Wish = std::get_if<WithdrawKey>(&Current.Wish)) {
    Result.Key = KeyChange{Wish->KeyHash, ""};
  } else if (const auto *Wish = std::get_if<DeclareLost>(&Current.Wish)) {
    Result.LostInstance = Wish->Instance;
  } else {
    // A stepwise plan takes a version of its own without a change, so that of
    // two plans made from one version only one can be confirmed.
    Result.Config = *this->Services.CurrentConfig();
    Plan Whole = Current;
    if (auto *Load = std::get_if<LoadDocument>(&Whole.Wish)) {
      const std::string Hash = Load->Document;
      auto Text = co_await this->Store.GetObject(documentName(Hash));
      if (!Text)
        co_return tl::unexpected<std::error_code>(Text.error());
      if (sha256Hex(*Text) != Hash)
        co_return failure(Errc::Malformed);
      Load->Document = std::move(*Text);
    }
    applyIntent(*Result.Config, Whole);
  }
  co_return Result;
}

asio::awaitable<Outcome<std::vector<std::string>>>
PlanStore::targetsTaken(Plan Current, const FleetConfig &Next) const {
  const auto Rows = co_await listRows(this->Store, TargetPrefix);
  if (!Rows)
    co_return tl::unexpected<std::error_code>(Rows.error());
  const bool Whole = std::holds_alternative<LoadDocument>(Current.Wish);
  const auto Now = this->Services.CurrentConfig();
  std::vector<std::string> Result;
  for (const Row &Item : *Rows) {
    const std::string Target =
        Item.Key.substr(std::string(TargetPrefix).size());
    const auto &Own = Current.Targets;
    const bool Same = std::find(Own.begin(), Own.end(), Target) != Own.end();
    if (Same)
      Result.push_back("another plan works on " + Target + ": " + Item.Value);
    else if (Whole && !agreeOn(*Now, Next, Target))
      Result.push_back("the document changes " + Target +
                       ", which a plan works on: " + Item.Value);
  }
  co_return Result;
}

asio::awaitable<std::vector<std::string>>
PlanStore::changedSince(Plan Current) const {
  // The copy may not have the change yet that the store has refused us for.
  const Clock::time_point Deadline = Clock::now() + CopyDelay;
  auto Now = this->Services.CurrentConfig();
  while (Now->Version <= Current.BaseVersion && Clock::now() < Deadline) {
    co_await sleepFor(CopyPoll);
    Now = this->Services.CurrentConfig();
  }
  if (Now->Version == Current.BaseVersion)
    co_return std::vector<std::string>{"another change came at the same time"};
  std::vector<std::string> Result{"the plan was made from configuration " +
                                  std::to_string(Current.BaseVersion) +
                                  "; now it is " +
                                  std::to_string(Now->Version)};
  auto Before = co_await this->Services.ConfigAt(Current.BaseVersion);
  if (!Before) {
    Result.emplace_back("what changed is no longer known");
    co_return Result;
  }
  auto Lines = describeChanges(*Before, *Now);
  if (Lines.empty())
    Lines.emplace_back("another plan was confirmed; no content changed yet");
  Result.insert(Result.end(), Lines.begin(), Lines.end());
  co_return Result;
}

asio::awaitable<PlanAnswer>
PlanStore::refuse(PlanRecord From, std::string By,
                  std::vector<std::string> Reasons) const {
  PlanChange Change;
  Change.From = From;
  Change.Next = From.Current;
  Change.By = By;
  Change.Reason = joinNames(Reasons);
  Change.Next.State = PlanState::Refused;
  Change.Next.Result = "Refused: " + Change.Reason + ".";
  Change.Next.History.push_back(
      {PlanState::Refused, this->Services.WallNow(), By, Change.Reason});
  const Plan Refused = Change.Next;
  const auto Written = co_await this->apply(std::move(Change));
  if (!Written)
    co_return answer(Errc::Conflict, std::move(Reasons), From.Current);
  co_return answer(Errc::Conflict, std::move(Reasons), Refused);
}

asio::awaitable<PlanAnswer> PlanStore::confirm(std::string Id, std::string By) {
  auto From = co_await this->read(Id);
  if (!From)
    co_return answer(From.error(), {});
  const Plan &Current = From->Current;
  if (Current.State != PlanState::Proposed)
    co_return answer(Errc::Conflict, {lastChange(Current)}, Current);
  const WallTime Now = this->Services.WallNow();
  std::vector<std::string> TooOld(1, "the proposal is too old");
  if (Now - Current.History.front().At > LongestProposal)
    co_return co_await this->refuse(*From, By, std::move(TooOld));
  if (this->Services.CurrentConfig()->Version != Current.BaseVersion) {
    auto Reasons = co_await this->changedSince(Current);
    co_return co_await this->refuse(*From, By, std::move(Reasons));
  }
  auto Control = co_await this->controlOf(Current);
  if (!Control)
    co_return answer(Control.error(), {"the document cannot be read"}, Current);
  const FleetConfig Next = Control->Config.value_or(FleetConfig());
  auto Taken = co_await this->targetsTaken(Current, Next);
  if (!Taken)
    co_return answer(Taken.error(), {}, Current);
  if (!Taken->empty())
    co_return co_await this->refuse(*From, By, std::move(*Taken));
  PlanChange Change;
  Change.From = *From;
  Change.Next = Current;
  Change.By = By;
  Change.Reason = "confirmed";
  Change.Control = std::move(*Control);
  const bool Whole = isImmediate(Current.Wish);
  Change.Next.State = Whole ? PlanState::Running : PlanState::Confirmed;
  Change.Next.StepsDone = Whole ? Current.Steps.size() : 0;
  Change.Next.Share = Whole ? Current.Steps.back().Share : Current.StartShare;
  Change.Next.LastStepAt = Now;
  Change.Next.History.push_back({Change.Next.State, Now, By, "confirmed"});
  const Plan Confirmed = Change.Next;
  const auto Written = co_await this->apply(std::move(Change));
  if (Written)
    co_return answer({}, {}, Confirmed);
  if (Written.error() != Errc::Conflict)
    co_return answer(Written.error(), {}, Current);
  co_return co_await this->afterConflict(Id, By, Confirmed);
}

asio::awaitable<PlanAnswer>
PlanStore::afterConflict(std::string Id, std::string By, Plan Confirmed) const {
  auto Now = co_await this->read(Id);
  if (!Now)
    co_return answer(Errc::Conflict, {"another change came first"});
  if (Now->Current.State != PlanState::Proposed)
    co_return answer(Errc::Conflict, {lastChange(Now->Current)}, Now->Current);
  auto Reasons = co_await this->changedSince(Confirmed);
  co_return co_await this->refuse(*Now, By, std::move(Reasons));
}

asio::awaitable<PlanAnswer> PlanStore::editActive(std::string Id,
                                                  std::string By,
                                                  std::string Reason,
                                                  bool TakeBack) const {
  for (int Attempt = 0;; ++Attempt) {
    auto From = co_await this->read(Id);
    if (!From)
      co_return answer(From.error(), {});
    const Plan &Current = From->Current;
    if (isEnded(Current.State))
      co_return answer(Errc::Conflict, {lastChange(Current)}, Current);
    if (Current.TakingBack && TakeBack)
      co_return answer(Errc::Conflict,
                       {"the plan is being taken back: " + Current.BackReason},
                       Current);
    const bool Proposed = Current.State == PlanState::Proposed;
    if (TakeBack && !Proposed && !isTakenBackInSteps(Current.Wish))
      co_return answer(
          Errc::Conflict,
          {"the change is made already; the way back is: " + Current.WayBack},
          Current);
    PlanChange Change;
    Change.From = *From;
    Change.Next = Current;
    Change.By = By;
    Change.Reason = Reason;
    Plan &Next = Change.Next;
    const bool Untouched =
        Current.State == PlanState::Confirmed && Current.StepsDone == 0;
    if (Proposed) {
      Next.State = PlanState::Refused;
      Next.Result = "Withdrawn before it was confirmed: " + Reason + ".";
    } else if (!TakeBack) {
      Next.State = PlanState::Stopped;
      Next.Result = stoppedAt(Current);
    } else if (Untouched) {
      Next.State = PlanState::TakenBack;
      Next.Result = "Taken back before its first step: " + Reason + ".";
    } else {
      Next.State = PlanState::Running;
      Next.TakingBack = true;
      Next.BackReason = Reason + " (" + By + ")";
    }
    Next.History.push_back({Next.State, this->Services.WallNow(), By, Reason});
    const Plan Edited = Next;
    const auto Written = co_await this->apply(std::move(Change));
    if (Written)
      co_return answer({}, {}, Edited);
    if (Written.error() != Errc::Conflict || Attempt + 1 == MostEdits)
      co_return answer(Written.error(), {}, Current);
  }
}

asio::awaitable<PlanAnswer> PlanStore::takeBack(std::string Id, std::string By,
                                                std::string Reason) {
  return this->editActive(std::move(Id), std::move(By), std::move(Reason),
                          true);
}

asio::awaitable<PlanAnswer> PlanStore::stop(std::string Id, std::string By,
                                            std::string Reason) {
  return this->editActive(std::move(Id), std::move(By), std::move(Reason),
                          false);
}

} // namespace rr
