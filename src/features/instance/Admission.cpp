#include "instance/Admission.h"

#include "base/Timer.h"
#include "instance/InstanceState.h"
#include "limits/LimitsJson.h"
#include "telemetry/Metrics.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <utility>

namespace rr {

namespace {

using nlohmann::json;

// Two crossings between the regions that are farthest apart, and a margin. A
// caller waits no longer than this for borrowed tokens.
constexpr std::chrono::milliseconds BorrowTimeout{150};
// Tokens asked for cover the demand of this time, so that the next requests
// need no messages.
constexpr std::chrono::milliseconds BorrowAhead{100};
// A token that comes by itself within this time is waited for.
constexpr std::chrono::milliseconds LongestTokenWait{50};
constexpr std::size_t MostTokenWaiters = 64;
constexpr std::chrono::seconds GrantTimeout{2};

MicroRequests demandFor(MicroRequests PerSecond,
                        std::chrono::milliseconds Time) {
  return PerSecond * Time.count() / 1000;
}

} // namespace

/// One round of borrowing that requests of a workspace wait for.
struct Admission::Borrow {
  explicit Borrow(const asio::any_io_executor &Executor) : Done(Executor) {}

  OneShotEvent Done;
  std::size_t Open = 0;
};

Admission::Admission(InstanceState &State, const PeerNetwork &Network,
                     asio::any_io_executor Executor, Metrics &Counters)
    : State(State), Network(Network), Executor(std::move(Executor)),
      Counters(Counters), Planner(State.Shares.self(), std::string()) {}

asio::awaitable<Outcome<void>> Admission::admit(std::string Workspace,
                                                Clock::time_point Deadline) {
  this->Demand.note(Workspace, Clock::now());
  auto Taken = this->State.Shares.tryAdmit(Workspace, Clock::now());
  if (Taken || Taken.error() != Errc::LimitReached)
    co_return Taken;
  auto &Running = this->Borrows[Workspace];
  if (!Running) {
    Running = std::make_shared<Borrow>(this->Executor);
    asio::co_spawn(this->Executor, this->borrow(Workspace), asio::detached);
  }
  const std::shared_ptr<Borrow> Round = Running;
  co_await Round->Done.waitUntil(
      std::min(Deadline, Clock::now() + BorrowTimeout));
  Taken = this->State.Shares.tryAdmit(Workspace, Clock::now());
  if (Taken || Taken.error() != Errc::LimitReached)
    co_return Taken;
  co_return co_await this->waitForToken(Workspace, Deadline);
}

asio::awaitable<Outcome<void>>
Admission::waitForToken(std::string Workspace, Clock::time_point Deadline) {
  const Clock::time_point Now = Clock::now();
  const auto Wait = this->State.Shares.timeUntilToken(Workspace, Now);
  if (!Wait || *Wait > LongestTokenWait || Now + *Wait >= Deadline ||
      this->Waiting[Workspace] >= MostTokenWaiters)
    co_return failure(Errc::LimitReached);
  ++this->Waiting[Workspace];
  co_await sleepFor(*Wait);
  --this->Waiting[Workspace];
  co_return this->State.Shares.tryAdmit(Workspace, Clock::now());
}

asio::awaitable<void> Admission::borrow(std::string Workspace) {
  const Clock::time_point Now = Clock::now();
  const std::shared_ptr<Borrow> Round = this->Borrows[Workspace];
  const MicroRequests Held = this->State.Shares.held(Workspace, Now).Tokens;
  const MicroRequests Ahead =
      demandFor(this->Demand.demand(Workspace, Now), BorrowAhead);
  const MicroRequests Needed = std::max<MicroRequests>(1, OneRequest - Held);
  const MicroRequests Wanted = std::max(Needed, Ahead);
  const auto Requests = this->Planner.plan(
      Workspace, this->State.Shares.epoch(), Wanted, Needed, Held, Now);
  Round->Open = Requests.size();
  for (const BorrowRequest &Request : Requests)
    asio::co_spawn(this->Executor, this->borrowFrom(Request, Round),
                   asio::detached);
  if (!Requests.empty())
    co_await Round->Done.waitUntil(Now + BorrowTimeout);
  this->Borrows.erase(Workspace);
  Round->Done.set();
}

asio::awaitable<void> Admission::borrowFrom(BorrowRequest Request,
                                            std::shared_ptr<Borrow> Running) {
  const json Body = formatShareMove(Request);
  const Clock::time_point Deadline = Clock::now() + GrantTimeout;
  const auto Answer = co_await this->Network.Call(
      Request.Lender.Instance, "shareMove", Body, Deadline, nullptr);
  const auto Move = Answer ? parseShareMove(*Answer)
                           : Outcome<ShareMove>(failure(Errc::Unavailable));
  const ShareGrant *Grant = Move ? std::get_if<ShareGrant>(&*Move) : nullptr;
  if (Grant)
    this->State.Shares.receive(*Grant, Clock::now());
  const bool Useful = Grant && !Grant->Amount.isZero();
  this->Counters.add(Metric::Borrows,
                     {{"result", Useful ? "granted" : "nothing"}});
  // The first token is enough to go on; later grants are added as they come.
  if (--Running->Open == 0 || Useful)
    Running->Done.set();
}

Outcome<json> Admission::onShareMove(const json &Body) {
  const auto Move = parseShareMove(Body);
  if (!Move)
    return failure(Errc::Malformed);
  const Clock::time_point Now = Clock::now();
  if (const auto *Request = std::get_if<BorrowRequest>(&*Move)) {
    const bool Gathering = this->Borrows.count(Request->Workspace) > 0;
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
  const GrantResult Result = this->State.Shares.receive(Grant, Now);
  return json{{"newer_epoch", Result == GrantResult::NewerEpoch}};
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
  for (int Attempt = 0; Attempt < 3; ++Attempt) {
    const Clock::time_point Deadline = Clock::now() + GrantTimeout;
    const auto Answer = co_await this->Network.Call(
        Grant.To.Instance, "shareMove", Body, Deadline, nullptr);
    const bool Repeat =
        !Answer || (Answer->is_object() && Answer->value("newer_epoch", false));
    if (!Repeat)
      co_return;
    co_await sleepFor(BorrowTimeout);
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
       this->State.Shares.surrender(Peers, Clock::now()))
    co_await this->deliver(Grant);
}

} // namespace rr
