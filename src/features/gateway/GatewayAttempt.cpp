#include "gateway/GatewayAttempt.h"

#include "base/Errc.h"
#include "gateway/ServerLimitLog.h"
#include "gateway/SteeringMetrics.h"
#include "steering/ObservedLoad.h"
#include "steering/ServerLimits.h"
#include "usage/StartEstimate.h"
#include "usage/UsageCounter.h"

#include <algorithm>

namespace rr {

namespace {

/// A connection attempt that takes longer than this and longer than several
/// round trips is unlikely to succeed before the deadline.
constexpr Clock::duration MinConnectTimeout = std::chrono::milliseconds(250);
constexpr int ConnectRoundTrips = 4;
/// An answer counts as slow for a new version if it takes longer than the
/// expected time of a cache miss times this factor.
constexpr double SlowVersionFactor = 2;

/// Counts a request as in flight at a server during its lifetime.
class InFlightScope {
public:
  InFlightScope(const Placement &Decision, Clock::duration RoundTrip)
      : Server(Decision.Server) {
    ++this->Server->InFlight;
    if (!Decision.Cost)
      return;
    const Clock::time_point Now = Clock::now();
    this->Id = addRunning(
        this->Server->Backlog,
        {0, Now, Now + RoundTrip / 2 + Decision.ExpectedWait, *Decision.Cost});
  }
  ~InFlightScope() {
    --this->Server->InFlight;
    if (this->Id)
      removeRunning(this->Server->Backlog, *this->Id);
  }
  InFlightScope(const InFlightScope &) = delete;
  InFlightScope &operator=(const InFlightScope &) = delete;

private:
  BackendPtr Server;
  std::optional<std::uint64_t> Id;
};

} // namespace

bool isServerError(const HttpMessage &Answer) { return Answer.Status >= 500; }

asio::awaitable<Gateway::ServerAttempt>
Gateway::sendAttempt(const GatewayRequest &Request,
                     const RequestProgress &Progress, Placement Decision) {
  const GatewayHeaders &Names = this->State.Settings.Headers;
  const BackendPtr Server = Decision.Server;
  const InFlightScope Scope(Decision, this->State.Network.roundTrip(
                                          Server->Record.Zone, Server->Region));
  const Clock::time_point Start = Clock::now();
  const Clock::duration Left = Request.Deadline - Start;
  HttpConnectionPool::Call Call;
  Call.Address = Server->Record.Address;
  Call.Request = Request.Message;
  Call.Request.Headers.push_back({Names.Deadline, millisecondText(Left)});
  Call.Request.Headers.push_back({Names.ExpectedServer, Server->Record.Id});
  const Clock::time_point ConnectDeadline =
      std::min(Start + this->connectTimeout(*Server), this->State.StopsAt);
  Call.ConnectDeadline = ConnectDeadline;
  Call.Deadline = Request.Deadline;
  Call.Cancel = Request.Cancel;
  // While the connection was established or the event loop was held up, the
  // caller may have left, the deadline passed, or a stop begun.
  Call.MayWrite = [this, &Request, &Progress] {
    return !Request.Cancel->checkCancelled() &&
           Clock::now() < Request.Deadline &&
           this->canFinish(Request, Progress.Service);
  };
  Call.Accepts = [&Names, Id = Request.Id](const HttpMessage &Answer) {
    const std::string *Echo = findHeader(Answer.Headers, Names.RequestId);
    return !Echo || *Echo == Id;
  };
  this->State.Shifts.recordRequest(Server->Region, Start);
  if (Request.Object)
    recordObjectUse(*Server, *Request.Object, Start);
  ServerAttempt Attempt;
  Attempt.Decision = std::move(Decision);
  Attempt.Exchange = co_await this->Links.call(std::move(Call));
  Attempt.Time = Clock::now() - Start;
  Attempt.Result = classifyAttempt(Attempt.Exchange, Request.Id, Names);
  const bool Unsent = !Attempt.Exchange.MayHaveBeenSent;
  const bool Withheld = Attempt.Result == AttemptResult::Cancelled &&
                        !Request.Cancel->isCancelled();
  // The server is not to blame for a connection that was given up because the
  // request had no more time.
  const bool GivenUp =
      Attempt.Exchange.Error == make_error_code(Errc::Timeout) &&
      Request.Deadline < ConnectDeadline;
  if (Unsent && (Withheld || GivenUp))
    Attempt.Result = AttemptResult::Expired;
  co_return Attempt;
}

Clock::duration Gateway::connectTimeout(const BackendState &Server) const {
  const Clock::duration RoundTrip =
      this->State.Network.roundTrip(Server.Record.Zone, Server.Region);
  return std::max(MinConnectTimeout, RoundTrip * ConnectRoundTrips);
}

void Gateway::recordAttempt(const GatewayRequest &Request,
                            const RequestProgress &Progress,
                            const ServerAttempt &Attempt) {
  const Clock::time_point Now = Clock::now();
  BackendState &Server = *Attempt.Decision.Server;
  const BackendRecord &Record = Server.Record;
  if (Attempt.Exchange.ConnectTime)
    this->State.Network.recordHandshake(Record.Zone,
                                        *Attempt.Exchange.ConnectTime);
  // Nothing is known about the server.
  if (Attempt.Result == AttemptResult::Cancelled ||
      Attempt.Result == AttemptResult::NoConnection ||
      Attempt.Result == AttemptResult::Expired)
    return;
  if (Attempt.Result == AttemptResult::Unreachable ||
      Attempt.Result == AttemptResult::WrongServer) {
    this->State.LastServerLoss = Now;
    noteUnreachable(Server, Now);
    this->Links.closeIdle(Record.Address);
    this->logRateLimited(Event::ServerEjected, "server_ejected", [&] {
      return std::vector<EventField>{
          {"server", Record.Id}, {"reason", attemptResultName(Attempt.Result)}};
    });
    return;
  }
  this->recordLimit(Attempt);
  const auto Load =
      reportedLoad(Attempt.Exchange.Response, this->State.Settings.Headers);
  if (Load)
    noteLoad(Server, *Load, Now);
  else if (Attempt.Result == AttemptResult::NotRun)
    assumeFull(Server, Now);
  this->learnCost(Request, Progress, Attempt, Load);
  if (isDebugLoggingEnabled())
    this->logAttempt(Request, Progress, Attempt);
  const bool Answered = Attempt.Result == AttemptResult::Answered;
  const bool Failed = (!Answered && Attempt.Result != AttemptResult::NotRun) ||
                      (Answered && isServerError(Attempt.Exchange.Response));
  if (Attempt.Result == AttemptResult::Failed)
    this->State.LastServerLoss = Now;
  if (Attempt.Result == AttemptResult::Failed &&
      Attempt.Exchange.Error == make_error_code(Errc::ConnectionLost))
    this->Crashes.recordLoss(
        Attempt.Decision.Server,
        {Request.Id, Request.Fingerprint, Now - Attempt.Time, Now},
        this->connectTimeout(Server));
  noteAttempt(Server, Failed || Attempt.Result == AttemptResult::NotRun, Now);
  if (Attempt.Result == AttemptResult::NotRun)
    return;
  if (Answered) {
    noteReachable(Server);
    if (!Failed)
      this->recordHarmless(Request);
  }
  const ProcessingTimes::Estimate Expected =
      this->State.RequestProcessingTimes.estimateFor(*Request.Route,
                                                     Progress.Service);
  const bool Slow = double(Attempt.Time.count()) >
                    SlowVersionFactor * double(Expected.Miss.count());
  const auto Found = this->State.Versions.find(Progress.Service);
  if (Found != this->State.Versions.end() &&
      Found->second.record(Request.Route->Name, Record.Version, Failed, Slow,
                           Now)) {
    logEvent(Event::VersionStopped,
             {{"service", Progress.Service}, {"version", Record.Version}});
    this->Counters.add(Metric::SteeringVersionStops,
                       {{"service", Progress.Service}});
    if (this->VersionStopped)
      this->VersionStopped(Progress.Service);
  }
  const Clock::duration Work =
      Attempt.Time - this->State.Network.roundTrip(Record.Zone, Server.Region);
  const bool Queued = Load && Load->Running + Load->Waiting >= Record.Slots;
  if (Attempt.Result == AttemptResult::TimedOut) {
    noteSlowness(Server,
                 double(Attempt.Time.count()) / double(Expected.Miss.count()),
                 Now);
    return;
  }
  if (!Answered || Failed || Queued || Attempt.Decision.Cold)
    return;
  noteSlowness(Server,
               this->State.RequestProcessingTimes.recordAnswer(
                   *Request.Route, Progress.Service, Attempt.Decision.Affinity,
                   Work, Attempt.Exchange.Response.Body.size()),
               Now);
}

void Gateway::recordUsage(const GatewayRequest &Request,
                          const ServerAttempt &Attempt) {
  if (!this->Usage || !Request.Workspace || !Attempt.Exchange.MayHaveBeenSent ||
      Attempt.Result == AttemptResult::NotRun ||
      Attempt.Result == AttemptResult::WrongServer)
    return;
  const BackendState &Server = *Attempt.Decision.Server;
  SentAttempt Sent;
  Sent.EndedAt = Clock::now();
  Sent.SentAt = Sent.EndedAt - Attempt.Time +
                Attempt.Exchange.ConnectTime.value_or(Clock::duration::zero());
  Sent.RoundTrip =
      this->State.Network.roundTrip(Server.Record.Zone, Server.Region);
  Sent.Wait = Attempt.Decision.ExpectedWait;
  Sent.Answered = Attempt.Result == AttemptResult::Answered;
  if (const auto StartedAt = estimatedStart(Sent))
    this->Usage->record(Request.Workspace->Name, *StartedAt);
}

void Gateway::recordLimit(const ServerAttempt &Attempt) {
  if (Attempt.Exchange.Error)
    return;
  BackendState &Server = *Attempt.Decision.Server;
  const Clock::time_point Now = Clock::now();
  const auto Limit =
      reportedLimit(Attempt.Exchange.Response, this->State.Settings.Headers);
  if (Limit && noteLimit(Server, *Limit, Now - Attempt.Time, Now,
                         this->State.Members.storeTime()))
    logServerLimit(Server, this->State.Settings.Name);
}

void Gateway::recordHarmless(const GatewayRequest &Request) {
  this->State.Answers.add(Request.Fingerprint, Clock::now());
  if (this->SuspectAnswered &&
      this->State.Suspects.isSuspect(Request.Fingerprint))
    this->SuspectAnswered(Request.Fingerprint);
}

} // namespace rr
