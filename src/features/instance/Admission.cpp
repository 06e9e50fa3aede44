#include "instance/Admission.h"

#include "base/Timer.h"
#include "instance/InstanceState.h"
#include "limits/LimitsJson.h"
#include "telemetry/Metrics.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <utility>

namespace rr {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds GrantTimeout{2};
// Time for a receiver to fetch the epoch that a grant belongs to.
constexpr std::chrono::milliseconds GrantRepeatDelay{150};
constexpr int GrantAttempts = 3;

} // namespace

/// A request that waits for its token.
struct Admission::Pending {
  explicit Pending(const asio::any_io_executor &Executor) : Done(Executor) {}

  OneShotEvent Done;
  Outcome<void> Result = failure(Errc::LimitReached);
};

Admission::Admission(InstanceState &State, const PeerNetwork &Network,
                     asio::any_io_executor Executor, Metrics &Counters)
    : State(State), Network(Network), Executor(std::move(Executor)),
      Counters(Counters), Planner(State.Shares.self(), std::string()),
      Gate(State.Shares, this->Demand, this->Planner) {}

asio::awaitable<Outcome<void>> Admission::admit(std::string Workspace,
                                                Clock::time_point Deadline) {
  const std::uint64_t Id = ++this->LastId;
  auto Mine = std::make_shared<Pending>(this->Executor);
  this->Requests[Id] = Mine;
  this->carryOut(this->Gate.submit(Workspace, Id, Clock::now()));
  co_await Mine->Done.waitUntil(Deadline);
  if (this->Requests.erase(Id) > 0)
    this->Gate.cancel(Workspace, Id);
  co_return Mine->Result;
}

void Admission::finish(std::uint64_t Id, Outcome<void> Result) {
  const auto Found = this->Requests.find(Id);
  if (Found == this->Requests.end())
    return;
  Found->second->Result = std::move(Result);
  Found->second->Done.set();
  this->Requests.erase(Found);
}

void Admission::carryOut(const AdmissionActions &Step) {
  for (const std::uint64_t Id : Step.Admitted)
    this->finish(Id, {});
  for (const auto &[Id, Reason] : Step.Refused)
    this->finish(Id, tl::unexpected<std::error_code>(Reason));
  for (const BorrowRequest &Request : Step.BorrowRequests)
    asio::co_spawn(this->Executor, this->borrowFrom(Request), asio::detached);
  for (const ShareGrant &Grant : Step.GrantsToReturn)
    asio::co_spawn(this->Executor, this->deliver(Grant), asio::detached);
  this->scheduleWake();
}

void Admission::scheduleWake() {
  const auto Next = this->Gate.nextWake(Clock::now());
  if (!Next || (this->NextWake && *this->NextWake <= *Next))
    return;
  this->NextWake = Next;
  asio::co_spawn(this->Executor, this->wakeAt(*Next), asio::detached);
}

asio::awaitable<void> Admission::wakeAt(Clock::time_point Time) {
  co_await sleepFor(Time - Clock::now());
  if (this->NextWake != Time)
    co_return;
  this->NextWake.reset();
  this->carryOut(this->Gate.wake(Clock::now()));
}

asio::awaitable<void> Admission::borrowFrom(BorrowRequest Request) {
  const json Body = formatShareMove(Request);
  const Clock::time_point Deadline = Clock::now() + GrantTimeout;
  const auto Answer = co_await this->Network.Call(
      Request.Lender.Instance, "shareMove", Body, Deadline, nullptr);
  if (!Answer)
    co_return;
  const auto Move = parseShareMove(*Answer);
  const ShareGrant *Grant = Move ? std::get_if<ShareGrant>(&*Move) : nullptr;
  if (!Grant)
    co_return;
  this->Counters.add(
      Metric::Borrows,
      {{"result", Grant->Amount.isZero() ? "nothing" : "granted"}});
  this->carryOut(this->Gate.receive(*Grant, Clock::now()));
}

Outcome<json> Admission::onShareMove(const json &Body) {
  const auto Move = parseShareMove(Body);
  if (!Move)
    return failure(Errc::Malformed);
  const Clock::time_point Now = Clock::now();
  if (const auto *Request = std::get_if<BorrowRequest>(&*Move)) {
    const bool Gathering = this->Gate.isWaitingForTokens(Request->Workspace);
    const auto Grant = this->State.Shares.lend(
        *Request, this->Demand.demand(Request->Workspace, Now), Gathering, Now);
    if (!Grant)
      return tl::unexpected<std::error_code>(Grant.error());
    return formatShareMove(*Grant);
  }
  if (const auto *Request = std::get_if<ShareRelease>(&*Move)) {
    asio::co_spawn(this->Executor, this->release(*Request), asio::detached);
    return json::object();
  }
  const auto &Grant = std::get<ShareGrant>(*Move);
  const bool Newer = Grant.Epoch > this->State.Shares.epoch();
  this->carryOut(this->Gate.receive(Grant, Now));
  return json{{"newer_epoch", Newer}};
}

asio::awaitable<void> Admission::release(ShareRelease Request) {
  const auto Grant = this->State.Shares.release(Request, Clock::now());
  if (Grant)
    co_await this->deliver(*Grant);
}

asio::awaitable<void> Admission::deliver(ShareGrant Grant) {
  const json Body = formatShareMove(Grant);
  // Sent once more when the receiver has to fetch the epoch first. A grant is
  // added only once, so that repeating it is safe.
  for (int Attempt = 0; Attempt < GrantAttempts; ++Attempt) {
    const Clock::time_point Deadline = Clock::now() + GrantTimeout;
    const auto Answer = co_await this->Network.Call(
        Grant.To.Instance, "shareMove", Body, Deadline, nullptr);
    const bool Repeat =
        !Answer || (Answer->is_object() && Answer->value("newer_epoch", false));
    if (!Repeat)
      co_return;
    co_await sleepFor(GrantRepeatDelay);
  }
}

DemandReport Admission::report(Clock::time_point Now) {
  DemandReport Result;
  Result.Holder = this->State.Shares.self();
  Result.Zone = this->State.Control.members().self().Zone;
  Result.Region = regionOf(this->State, Result.Zone);
  Result.Epoch = this->State.Shares.epoch();
  Result.Workspaces = this->State.Shares.report(Now);
  for (WorkspaceDemand &Item : Result.Workspaces)
    Item.Demand = this->Demand.demand(Item.Workspace, Now);
  return Result;
}

void Admission::noteReport(const DemandReport &Report, Clock::time_point Now) {
  if (Report.Holder != this->State.Shares.self())
    this->Planner.update(Report, Now);
}

asio::awaitable<void> Admission::surrender() {
  std::vector<ShareHolder> Peers;
  for (const MemberEntry *Entry : liveMembers(this->State, Clock::now()))
    if (Entry->Record.Name != this->State.Control.members().self().Name)
      Peers.push_back({Entry->Record.Name, Entry->Record.Incarnation});
  for (const ShareGrant &Grant :
       this->State.Shares.releaseAll(Peers, Clock::now()))
    co_await this->deliver(Grant);
}

} // namespace rr
