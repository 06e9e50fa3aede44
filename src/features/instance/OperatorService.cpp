#include "instance/OperatorService.h"

#include "base/Random.h"
#include "instance/FleetWork.h"
#include "instance/InstanceState.h"
#include "logging/EventLog.h"
#include "model/FleetConfig.h"
#include "plans/IntentJson.h"
#include "plans/PlanJson.h"
#include "platform/PlatformCalls.h"
#include "telemetry/Metrics.h"

#include <utility>

namespace rr {

namespace {

using nlohmann::json;

const std::string StorelessPrefix = "storeless-";

std::int64_t milliseconds(Clock::duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

int statusFor(const std::error_code &Error) {
  if (Error == Errc::Conflict)
    return 409;
  if (Error == Errc::NotFound)
    return 404;
  if (Error == Errc::Malformed)
    return 400;
  return 503;
}

const char *codeFor(const std::error_code &Error) {
  if (Error == Errc::Conflict)
    return "conflict";
  if (Error == Errc::NotFound)
    return "not_found";
  if (Error == Errc::Malformed)
    return "malformed";
  if (Error == Errc::Unknown)
    return "outcome_unknown";
  return "store_unavailable";
}

AdminReply refusal(const std::error_code &Error,
                   const std::vector<std::string> &Reasons,
                   const std::optional<Plan> &Current) {
  json Body = {{"error", codeFor(Error)},
               {"detail", Error.message()},
               {"problems", Reasons}};
  // After any other error the plan was not stored.
  if (Current && Error == Errc::Conflict)
    Body["plan"] = formatPlan(*Current);
  return {statusFor(Error), Body.dump()};
}

AdminReply replyOf(const PlanAnswer &Answer, int Status) {
  if (Answer.Error || !Answer.Current)
    return refusal(Answer.Error ? Answer.Error
                                : make_error_code(Errc::Unavailable),
                   Answer.Reasons, Answer.Current);
  return {Status, formatPlan(*Answer.Current).dump()};
}

json reportJson(const WithdrawalReport &Report) {
  const Clock::time_point Now = Clock::now();
  json Missing = json::array();
  for (const auto &Item : Report.Missing) {
    json Entry = {{"instance", Item.Instance}};
    if (Item.ProofLapsesAt)
      Entry["proof_lapses_in_ms"] = milliseconds(*Item.ProofLapsesAt - Now);
    Missing.push_back(std::move(Entry));
  }
  return {{"in_force", Report.InForce},
          {"durable", Report.Durable},
          {"accepted", Report.isAccepted()},
          {"holders", Report.Holders},
          {"not_confirmed", Missing}};
}

} // namespace

OperatorService::OperatorService(InstanceState &State, FleetWork &Work,
                                 Metrics &Counters)
    : State(State), Work(Work), Counters(Counters) {}

AdminReply OperatorService::status() const {
  const Clock::time_point Now = Clock::now();
  InstanceState &Current = this->State;
  MemberTable &Members = Current.Control.members();
  const json Body = {
      {"instance", Members.self().Name},
      {"zone", Members.self().Zone},
      {"state", Current.Leaving ? "leaving" : "live"},
      {"configuration", Current.Control.config().version()},
      {"key_set", Current.Control.keys().version()},
      {"share_epoch", Current.Shares.epoch()},
      {"fresh", isFresh(Current, Now)},
      {"store", Current.Control.isStoreDown() ? "unavailable" : "available"},
      {"relay", Members.isRelay(Now)},
      {"holds_fleet_lease", this->Work.holdsLease()},
      {"live_instances", liveMembers(Current, Now).size()}};
  return {200, Body.dump()};
}

AdminReply OperatorService::fleet() {
  const Clock::time_point Now = Clock::now();
  MemberTable &Members = this->State.Control.members();
  json List = json::array();
  for (const auto &[Name, Entry] : Members.entries()) {
    json Item = {{"name", Name},
                 {"zone", Entry.Record.Zone},
                 {"caller_address", Entry.Record.CallerAddress},
                 {"state", nameOf(Entry.Record.State)},
                 {"live", Members.isLive(Entry, Now)},
                 {"configuration", Entry.Acknowledged.Config},
                 {"key_set", Entry.Acknowledged.Keys}};
    if (Entry.HeardAt != Clock::time_point::min())
      Item["heard_ms_ago"] = milliseconds(Now - Entry.HeardAt);
    List.push_back(std::move(Item));
  }
  json Servers = json::array();
  for (const OwnedServer &Item : this->State.Routing.Owners.servers())
    Servers.push_back({{"server", Item.Server}, {"owner", Item.Owner}});
  return {200, json{{"instances", List}, {"servers", Servers}}.dump()};
}

AdminReply OperatorService::keyReport(const std::string &Hash) {
  const auto Parsed = parseKeyHash(Hash);
  if (!Parsed)
    return adminError(400, "malformed", "expected a SHA-256 hash");
  const auto Record = this->State.Control.keys().find(*Parsed);
  json Body = {{"known", Record.has_value()}};
  if (Record) {
    Body["workspace"] = Record->Workspace;
    Body["withdrawn"] = Record->Withdrawn;
  }
  const auto Report = this->State.Control.withdrawalReport(*Parsed);
  if (Report)
    Body["withdrawal"] = reportJson(*Report);
  return {200, Body.dump()};
}

asio::awaitable<Outcome<void>> OperatorService::withdraw(std::string Hash) {
  const auto Parsed = parseKeyHash(Hash);
  if (!Parsed)
    co_return tl::unexpected<std::error_code>(Parsed.error());
  const auto Report = co_await this->State.Control.withdraw(*Parsed);
  if (!Report)
    co_return tl::unexpected<std::error_code>(Report.error());
  logEvent(Event::KeyWithdrawn, {{"hash", Hash.substr(0, 12)}});
  co_return Outcome<void>();
}

AdminReply OperatorService::proposeStoreless(Intent Wish) {
  const auto *Loss = std::get_if<DeclareLost>(&Wish);
  const MemberTable &Members = this->State.Control.members();
  if (Loss && !Members.find(Loss->Instance))
    return adminError(404, "not_found", "no instance of this name is known");
  if (Loss && Loss->Instance == Members.self().Name)
    return adminError(409, "conflict", "the instance answers this call");
  json Changes = {"The key is withdrawn through the instances; the store is "
                  "unavailable and gets the withdrawal later."};
  json Caps = {"Only this instance knows this plan; confirm it here."};
  if (Loss) {
    Changes = {"Nobody waits for instance " + Loss->Instance +
               " any more; the store is unavailable and gets this later."};
    Caps.push_back("Only for a process that certainly no longer runs: the "
                   "guarantee for withdrawn keys rests on it.");
  }
  const std::string Id = StorelessPrefix + randomToken().substr(0, 12);
  this->StorelessPlans[Id] = {std::move(Wish)};
  const json Body = {
      {"id", Id}, {"state", "proposed"}, {"changes", Changes}, {"caps", Caps}};
  return {201, Body.dump()};
}

asio::awaitable<AdminReply>
OperatorService::confirmStoreless(std::string Operator, std::string Plan) {
  StorelessPlan &Current = this->StorelessPlans.at(Plan);
  if (const auto *Withdrawal = std::get_if<WithdrawKey>(&Current.Wish)) {
    const auto Taken = co_await this->withdraw(Withdrawal->KeyHash);
    if (!Taken && Taken.error() == Errc::LimitReached)
      co_return adminError(503, "limit_reached", Taken.error().message());
    if (!Taken)
      co_return refusal(Taken.error(), {}, std::nullopt);
  } else {
    this->Work.declareLost(std::get<DeclareLost>(Current.Wish).Instance);
  }
  Current.Confirmed = true;
  logEvent(Event::PlanConfirmed, {{"plan", Plan}, {"operator", Operator}});
  co_return this->showStoreless(Plan);
}

AdminReply OperatorService::showStoreless(const std::string &Plan) {
  const StorelessPlan &Current = this->StorelessPlans.at(Plan);
  json Body = {{"id", Plan}, {"state", "proposed"}, {"result", ""}};
  if (!Current.Confirmed)
    return {200, Body.dump()};
  Body["state"] = "finished";
  const auto *Withdrawal = std::get_if<WithdrawKey>(&Current.Wish);
  if (!Withdrawal) {
    Body["result"] = "Instance " +
                     std::get<DeclareLost>(Current.Wish).Instance +
                     " is declared lost.";
    return {200, Body.dump()};
  }
  const auto Hash = parseKeyHash(Withdrawal->KeyHash);
  const auto Report = this->State.Control.withdrawalReport(*Hash);
  Body["result"] = "The key is withdrawn at all instances.";
  // Reports of withdrawals that are in force and durable are forgotten.
  if (Report) {
    Body["withdrawal"] = reportJson(*Report);
    if (!Report->InForce) {
      Body["state"] = "running";
      Body["result"] = "";
    } else if (!Report->Durable) {
      Body["result"] = "The key is withdrawn at all instances; the store does "
                       "not have the withdrawal yet.";
    }
  }
  return {200, Body.dump()};
}

asio::awaitable<AdminReply> OperatorService::propose(std::string Operator,
                                                     std::string Text) {
  const json Value = json::parse(Text, nullptr, false);
  std::vector<std::string> Problems;
  const auto Wish = readIntent(Value, Problems);
  if (!Wish)
    co_return refusal(Wish.error(), Problems, std::nullopt);
  const PlanAnswer Answer =
      co_await this->Work.plans().propose(*Wish, Operator);
  const bool WorksWithoutStore = std::holds_alternative<WithdrawKey>(*Wish) ||
                                 std::holds_alternative<DeclareLost>(*Wish);
  const bool NoStore = Answer.Error == Errc::Unavailable ||
                       Answer.Error == Errc::Unknown ||
                       Answer.Error == Errc::Timeout;
  if (WorksWithoutStore && NoStore)
    co_return this->proposeStoreless(*Wish);
  if (!Answer.Error)
    logEvent(Event::PlanProposed,
             {{"plan", Answer.Current->Id}, {"operator", Operator}});
  co_return replyOf(Answer, 201);
}

asio::awaitable<AdminReply> OperatorService::confirm(std::string Operator,
                                                     std::string Plan) {
  if (this->StorelessPlans.contains(Plan))
    co_return co_await this->confirmStoreless(Operator, Plan);
  const PlanAnswer Answer = co_await this->Work.plans().confirm(Plan, Operator);
  if (Answer.Error)
    co_return replyOf(Answer, 200);
  logEvent(Event::PlanConfirmed, {{"plan", Plan}, {"operator", Operator}});
  if (const auto *Key = std::get_if<IssueKey>(&Answer.Current->Wish))
    logEvent(Event::KeyIssued, {{"hash", Key->KeyHash.substr(0, 12)},
                                {"workspace", Key->Workspace}});
  const auto *Withdrawal = std::get_if<WithdrawKey>(&Answer.Current->Wish);
  // The row is written; this tells the instances without waiting for them to
  // read it, and follows who has confirmed.
  if (Withdrawal)
    co_await this->withdraw(Withdrawal->KeyHash);
  co_return replyOf(Answer, 200);
}

asio::awaitable<AdminReply> OperatorService::takeBack(std::string Operator,
                                                      std::string Plan) {
  const PlanAnswer Answer = co_await this->Work.plans().takeBack(
      Plan, Operator, "asked for by " + Operator);
  co_return replyOf(Answer, 200);
}

asio::awaitable<AdminReply> OperatorService::show(std::string Plan) {
  if (this->StorelessPlans.contains(Plan))
    co_return this->showStoreless(Plan);
  const auto Found = co_await this->Work.plans().read(Plan);
  if (!Found)
    co_return refusal(Found.error(), {}, std::nullopt);
  co_return AdminReply{200, formatPlan(Found->Current).dump()};
}

asio::awaitable<AdminReply> OperatorService::list() {
  const auto Found = co_await this->Work.plans().list();
  if (!Found)
    co_return refusal(Found.error(), {}, std::nullopt);
  json List = json::array();
  for (const Plan &Item : *Found)
    List.push_back(formatPlan(Item));
  co_return AdminReply{200, json{{"plans", List}}.dump()};
}

asio::awaitable<AdminReply> OperatorService::audit() {
  const auto Found = co_await this->Work.plans().list();
  if (!Found)
    co_return refusal(Found.error(), {}, std::nullopt);
  json List = json::array();
  for (const Plan &Item : *Found) {
    const json Text = formatPlan(Item);
    for (json Entry : Text.value("history", json::array())) {
      Entry["plan"] = Item.Id;
      List.push_back(std::move(Entry));
    }
  }
  co_return AdminReply{200, json{{"audit", List}}.dump()};
}

AdminServices OperatorService::services() {
  AdminServices Result;
  Result.Status = [this] { return this->status(); };
  Result.Fleet = [this] { return this->fleet(); };
  Result.Metrics = [this] { return this->Counters.format(); };
  Result.Propose = [this](std::string Operator, std::string Intent) {
    return this->propose(std::move(Operator), std::move(Intent));
  };
  Result.Confirm = [this](std::string Operator, std::string Plan) {
    return this->confirm(std::move(Operator), std::move(Plan));
  };
  Result.TakeBack = [this](std::string Operator, std::string Plan) {
    return this->takeBack(std::move(Operator), std::move(Plan));
  };
  Result.Show = [this](std::string Plan) {
    return this->show(std::move(Plan));
  };
  Result.ListPlans = [this] { return this->list(); };
  Result.Audit = [this] { return this->audit(); };
  Result.KeyReport = [this](std::string Hash) { return this->keyReport(Hash); };
  return Result;
}

} // namespace rr
