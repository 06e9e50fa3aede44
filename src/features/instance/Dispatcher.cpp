#include "instance/Dispatcher.h"

#include "instance/DispatchJob.h"
#include "instance/DispatchOutcome.h"
#include "instance/ForwardJson.h"
#include "instance/InstanceState.h"
#include "instance/LinkKeeper.h"
#include "logging/EventLog.h"
#include "model/FleetConfig.h"
#include "quarantine/Fingerprint.h"
#include "telemetry/Metrics.h"
#include "telemetry/SpanExporter.h"

#include <utility>

namespace rr {

namespace {

using nlohmann::json;

// Owners that are asked before the request waits in the queue.
constexpr int MostPlacements = 6;
// Longest time that an answer is held back until the other instances know of
// a crash: a few round trips between regions.
constexpr std::chrono::milliseconds PublishTimeout{200};

} // namespace

Dispatcher::Dispatcher(InstanceState &State, const PeerNetwork &Network,
                       const BackendNetwork &Servers, LinkKeeper &Links,
                       CrashGuard &Guard, asio::any_io_executor Executor,
                       Metrics &Counters, SpanExporter *Spans)
    : State(State), Network(Network), Servers(Servers), Links(Links),
      Guard(Guard), Executor(Executor), Peers(State, Network, Executor),
      Counters(Counters), Spans(Spans) {}

void Dispatcher::publish(const std::string &Method, const json &Body) {
  this->Peers.publish(Method, Body);
}

// The caller may send the request again as soon as it has its answer, through
// any instance, so that all must know of the crash by then.
asio::awaitable<void>
Dispatcher::publishSuspects(std::vector<SuspectMessage> News) {
  std::vector<json> Bodies;
  for (const SuspectMessage &Item : News) {
    logEvent(Event::RequestSuspect, {{"fingerprint", Item.Fingerprint}});
    Bodies.push_back(encodeSuspect(Item, Clock::now()));
  }
  co_await this->Peers.publishAcknowledged("suspect", std::move(Bodies),
                                           PublishTimeout);
}

void Dispatcher::onSuspect(const json &Body) {
  const auto Received = decodeSuspect(Body, Clock::now());
  if (Received)
    this->Guard.merge(*Received, Clock::now());
}

void Dispatcher::onVersionStop(const json &Body) {
  const auto Stop = decodeVersionStop(Body);
  if (!Stop || !this->State.Routing.Guard.merge(*Stop))
    return;
  logEvent(Event::VersionStopped, {{"service", Stop->Service},
                                   {"version", Stop->Version},
                                   {"by", Stop->Instance}});
  if (this->State.Routing.Routes)
    this->State.Routing.Routes->versions().stopVersion(Stop->Service,
                                                       Stop->Version);
  // Passed on once, since not all instances are linked with the sender.
  this->publish("versionStop", Body);
}

void Dispatcher::configure() {
  const auto Config = configOf(this->State);
  if (!Config)
    return;
  for (const Workspace &Item : Config->Workspaces)
    for (auto &[Service, Queue] : this->Queues)
      Queue->setWeight(Item.Name, Item.Rate);
}

std::size_t Dispatcher::queued() const {
  std::size_t Sum = 0;
  for (const auto &[Service, Queue] : this->Queues)
    Sum += Queue->size();
  return Sum;
}

RequestQueue &Dispatcher::queueOf(const std::string &Service) {
  auto &Queue = this->Queues[Service];
  if (!Queue) {
    Queue = std::make_unique<RequestQueue>(
        this->Executor,
        [this](QueueEntry &Entry) { return this->tryPlace(Entry); });
    this->configure();
  }
  return *Queue;
}

bool Dispatcher::tryPlace(QueueEntry &Entry) {
  Entry.Request.Again = true;
  auto Decision = this->State.Routing.Routes->decide(
      Entry.Request, this->State.Routing.Random, Clock::now());
  if (Decision.Where == RouteDecision::Kind::Queue ||
      Decision.Where == RouteDecision::Kind::Refuse)
    return false;
  Entry.Decision = std::move(Decision);
  return true;
}

asio::awaitable<DispatchResult> Dispatcher::dispatch(DispatchRequest Request) {
  auto Work = std::make_shared<DispatchJob>();
  Work->Request = std::move(Request);
  const std::string &Fingerprint = Work->Request.Fingerprint;
  const auto Verdict = this->Guard.check(Fingerprint, Clock::now());
  if (Verdict == CrashGuard::Verdict::Blocked)
    co_return notRun("request_blocked");
  if (Verdict == CrashGuard::Verdict::Suspect)
    co_return co_await this->runAtTrialOwner(Work,
                                             this->trialOwnerOf(Fingerprint));
  co_return co_await this->run(Work);
}

std::string Dispatcher::trialOwnerOf(const std::string &Fingerprint) {
  std::vector<std::string> Names;
  for (const MemberEntry *Entry : liveMembers(this->State, Clock::now()))
    Names.push_back(Entry->Record.Name);
  return trialOwner(Fingerprint, Names);
}

asio::awaitable<DispatchResult>
Dispatcher::runAtTrialOwner(std::shared_ptr<DispatchJob> Work,
                            std::string Owner) {
  if (Owner != this->State.Control.members().self().Name) {
    this->Links.keep(Owner);
    ForwardedRequest Message;
    Message.Request = Work->Request;
    const json Body = encodeForward(Message);
    const auto Answer = co_await this->Network.Call(
        Owner, "trial", Body, Work->Request.Deadline, Work->Request.Cancel);
    if (!Answer && showsNotRun(Answer.error()))
      co_return notRun("trial_owner_unreachable");
    if (!Answer)
      co_return unknown("trial_owner_lost");
    const auto Result = decodeResult(*Answer);
    co_return Result ? *Result : unknown("malformed_answer");
  }
  const std::string Fingerprint = Work->Request.Fingerprint;
  if (!this->Guard.beginTrial(Fingerprint, std::string(),
                              Work->Request.Deadline, Clock::now()))
    co_return notRun("trial_running");
  Work->HoldsTrial = true;
  DispatchResult Result = co_await this->run(Work);
  this->Guard.endTrial(Fingerprint);
  co_return Result;
}

asio::awaitable<Outcome<json>> Dispatcher::onTrial(json Body,
                                                   Clock::time_point Deadline,
                                                   CancellationPtr Cancel) {
  const auto Received = decodeForward(Body);
  if (!Received)
    co_return failure(Errc::Malformed);
  auto Work = std::make_shared<DispatchJob>();
  Work->Request = Received->Request;
  Work->Request.Deadline = Deadline;
  Work->Request.Cancel = std::move(Cancel);
  const std::string Self = this->State.Control.members().self().Name;
  const DispatchResult Result = co_await this->runAtTrialOwner(Work, Self);
  co_return encodeResult(Result);
}

asio::awaitable<Outcome<RouteDecision>>
Dispatcher::decide(std::shared_ptr<DispatchJob> Work) {
  SpanScope Span(this->Spans, "decision", &Work->Request.Trace);
  RequestQueue &Queue = this->queueOf(Work->Request.Service);
  Work->Route.Queued = static_cast<std::uint32_t>(Queue.size());
  // A request does not pass those that wait already.
  const bool MustWait = Queue.size() > 0 && !Work->Forwarded && !Work->Spilled;
  if (!MustWait) {
    auto Decision = this->State.Routing.Routes->decide(
        Work->Route, this->State.Routing.Random, Clock::now());
    if (Decision.Where == RouteDecision::Kind::Refuse)
      co_return failure(Errc::LimitReached);
    if (Decision.Where != RouteDecision::Kind::Queue)
      co_return Outcome<RouteDecision>(std::move(Decision));
  }
  auto Entry = std::make_shared<QueueEntry>(this->Executor);
  Entry->Workspace = Work->Request.Workspace;
  Entry->Request = Work->Route;
  Entry->Cancel = Work->Request.Cancel;
  const auto Placed = co_await Queue.wait(Entry);
  if (!Placed)
    co_return tl::unexpected<std::error_code>(Placed.error());
  if (Work->Request.IsStillAuthorized && !Work->Request.IsStillAuthorized())
    co_return failure(Errc::Stale);
  co_return Outcome<RouteDecision>(std::move(Entry->Decision));
}

asio::awaitable<DispatchResult>
Dispatcher::run(std::shared_ptr<DispatchJob> Work) {
  Work->prepareRoute();
  for (int Placement = 0; Placement < MostPlacements; ++Placement) {
    if (!this->State.Routing.Routes)
      co_return notRun("no_configuration");
    Outcome<RouteDecision> Decision = co_await this->decide(Work);
    if (!Decision)
      co_return notRun(Decision.error() == Errc::Stale ? "key_view_stale"
                                                       : "overloaded");
    Work->Route.Again = true;
    DispatchResult Result;
    if (Decision->Where == RouteDecision::Kind::Local)
      Result = co_await this->runLocal(Work, std::move(Decision->Slot));
    else if (Decision->Where == RouteDecision::Kind::Forward)
      Result = co_await this->runForward(Work, std::move(Decision->Peer),
                                         std::move(Decision->Version));
    else
      Result = co_await this->runSpill(Work, std::move(Decision->Region));
    if (Result.Answered || !mayPlaceAgain(Result))
      co_return Result;
  }
  co_return notRun("overloaded");
}

asio::awaitable<DispatchResult>
Dispatcher::runLocal(std::shared_ptr<DispatchJob> Work, SlotLease Slot) {
  const BackendServer Server = Slot.server().Config;
  const std::string Fingerprint = Work->Request.Fingerprint;
  const Clock::time_point Started = Clock::now();
  const bool Suspect =
      this->Guard.check(Fingerprint, Started) != CrashGuard::Verdict::Allowed;
  const bool OwnTrial = Suspect && !Work->HoldsTrial;
  if (OwnTrial && !this->Guard.beginTrial(Fingerprint, Server.Name,
                                          Work->Request.Deadline, Started))
    co_return notRun("trial_running");
  DispatchRequest Copy = Work->Request;
  DispatchResult Result =
      co_await this->Servers.Attempt(Server, std::move(Copy));
  Slot.finish(outcomeOf(Result), Clock::now());
  this->queueOf(Work->Request.Service).wake();
  if (Result.ConnectionEnded)
    co_await this->reviewCrash(Work->Request, Server, Started);
  if (OwnTrial)
    this->Guard.endTrial(Fingerprint);
  this->noteAnswer(Work->Request, Result, Started);
  co_return Result;
}

void Dispatcher::noteAnswer(const DispatchRequest &Request,
                            const DispatchResult &Result,
                            Clock::time_point Started) {
  const Clock::time_point Now = Clock::now();
  this->Counters.add(
      Metric::Attempts,
      {{"server", Result.Server},
       {"result", Result.Answered ? "answered" : Result.Reason}});
  this->Counters.observe(
      Metric::AttemptSeconds,
      {{"service", Request.Service}, {"version", Result.Version}},
      Now - Started);
  if (Result.Answered)
    if (const auto News =
            this->Guard.requestCompleted(Request.Fingerprint, Now))
      this->publish("suspect", encodeSuspect(*News, Now));
  if (Result.Reason == "cancelled")
    return;
  const auto Stop = this->State.Routing.Guard.record(
      Request.Service, Request.Route, Result.Version, isServerFault(Result),
      Now - Started, Now);
  if (Stop)
    this->stopVersion(*Stop);
}

void Dispatcher::stopVersion(const VersionStop &Stop) {
  logEvent(Event::VersionStopped, {{"service", Stop.Service},
                                   {"version", Stop.Version},
                                   {"reason", Stop.Reason}});
  this->State.Routing.Routes->versions().stopVersion(Stop.Service,
                                                     Stop.Version);
  this->publish("versionStop", encodeVersionStop(Stop));
}

asio::awaitable<void> Dispatcher::reviewCrash(DispatchRequest Request,
                                              BackendServer Server,
                                              Clock::time_point Started) {
  std::vector<SuspectMessage> News = this->Guard.connectionEnded(
      Request.Fingerprint, Server.Name, Started, Clock::now());
  if (!News.empty())
    co_await this->publishSuspects(std::move(News));
  const bool Accepts = co_await this->Servers.Probe(Server);
  if (Accepts)
    co_return;
  News = this->Guard.connectionRefused(Server.Name, Clock::now());
  if (!News.empty())
    co_await this->publishSuspects(std::move(News));
}

asio::awaitable<DispatchResult>
Dispatcher::callOwner(std::shared_ptr<DispatchJob> Work, std::string Peer,
                      std::string Version, bool Spilled) {
  SpanScope Span(this->Spans, Spilled ? "spill" : "forward",
                 &Work->Request.Trace);
  Span.set("peer", Peer);
  this->Links.keep(Peer);
  ForwardedRequest Message;
  Message.Request = Work->Request;
  Message.Request.Trace = Span.context();
  Message.Version = std::move(Version);
  Message.Spilled = Spilled;
  Message.MayRetry = Work->Request.MayRetry;
  const json Body = encodeForward(Message);
  const auto Answer = co_await this->Network.Call(
      Peer, "forward", Body, Work->Request.Deadline, Work->Request.Cancel);
  if (!Answer) {
    Span.fail();
    const bool NotRun = showsNotRun(Answer.error());
    this->Counters.add(Metric::Forwards,
                       {{"result", NotRun ? "not_run" : "unknown"}});
    co_return NotRun ? notRun(NoSlot) : unknown("owner_lost");
  }
  const auto Result = decodeResult(*Answer);
  this->Counters.add(Metric::Forwards,
                     {{"result", Result ? "done" : "malformed"}});
  co_return Result ? *Result : unknown("malformed_answer");
}

asio::awaitable<DispatchResult>
Dispatcher::runForward(std::shared_ptr<DispatchJob> Work, ForwardLease Peer,
                       std::string Version) {
  const std::string Owner = Peer.instance();
  DispatchResult Result =
      co_await this->callOwner(Work, Owner, std::move(Version), false);
  if (!Result.Answered && Result.Reason == NoSlot)
    Peer.noteRefusal(Clock::now());
  this->queueOf(Work->Request.Service).wake();
  co_return Result;
}

std::string Dispatcher::liveInstanceIn(const std::string &Region) {
  std::vector<std::string> Names;
  for (const MemberEntry *Entry : liveMembers(this->State, Clock::now()))
    if (Entry->Record.State == MemberState::Live &&
        regionOf(this->State, Entry->Record.Zone) == Region)
      Names.push_back(Entry->Record.Name);
  if (Names.empty())
    return {};
  std::uniform_int_distribution<std::size_t> Pick(0, Names.size() - 1);
  return Names[Pick(this->State.Routing.Random)];
}

asio::awaitable<DispatchResult>
Dispatcher::runSpill(std::shared_ptr<DispatchJob> Work, std::string Region) {
  const std::string Peer = this->liveInstanceIn(Region);
  if (Peer.empty())
    co_return notRun(NoSlot);
  co_return co_await this->callOwner(Work, Peer, std::string(), true);
}

asio::awaitable<Outcome<json>> Dispatcher::onForward(json Body,
                                                     Clock::time_point Deadline,
                                                     CancellationPtr Cancel) {
  const auto Received = decodeForward(Body);
  if (!Received)
    co_return failure(Errc::Malformed);
  auto Work = std::make_shared<DispatchJob>();
  Work->Request = Received->Request;
  Work->Request.Deadline = Deadline;
  Work->Request.MayRetry = Received->MayRetry;
  Work->Request.Cancel = std::move(Cancel);
  Work->Version = Received->Version;
  Work->Spilled = Received->Spilled;
  // A spilled request may go on to another owner of this region.
  Work->Forwarded = !Received->Spilled;
  const bool Keyed = !Work->Request.Workspace.empty();
  if (Keyed && !isFresh(this->State, Clock::now()))
    co_return encodeResult(notRun(NoSlot));
  const auto Verdict =
      this->Guard.check(Work->Request.Fingerprint, Clock::now());
  if (Verdict == CrashGuard::Verdict::Blocked)
    co_return encodeResult(notRun("request_blocked"));
  DispatchResult Result = co_await this->run(Work);
  if (!Result.Answered && Result.Outcome == Execution::NotRun &&
      Result.Reason == "overloaded")
    Result.Reason = NoSlot;
  co_return encodeResult(Result);
}

} // namespace rr
