#include "gateway/GatewayAttempt.h"
#include "gateway/SteeringMetrics.h"
#include "steering/TableFreshness.h"
#include "tables/BootTime.h"

namespace rr {

namespace {

/// Outcome label of a request that was not admitted.
const char *refusalName(const HttpMessage &Refusal) {
  switch (Refusal.Status) {
  case 401:
    return "unknown_key";
  case 404:
    return "no_route";
  case 429:
    return "rate_used_up";
  default:
    return "not_ready";
  }
}

} // namespace

std::string millisecondText(Clock::duration Time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
}

void Gateway::logRateLimited(
    Event Number, const std::string &Outcome,
    const std::function<std::vector<EventField>()> &Fields) {
  if (!this->Log.write(Number, Outcome, Fields))
    this->Counters.add(Metric::SteeringLinesLeftOut);
}

void Gateway::countAttempt(const RequestProgress &Progress,
                           const ServerAttempt &Attempt) {
  const BackendState &Server = *Attempt.Decision.Server;
  this->Counters.add(Metric::SteeringAttempts,
                     {{"service", Progress.Service},
                      {"region", Server.Region},
                      {"result", attemptResultName(Attempt.Result)}});
  if (Attempt.Exchange.Fault != MessageFault::None)
    this->Counters.add(Metric::SteeringMalformedAnswers,
                       {{"sender", "server"},
                        {"reason", messageFaultName(Attempt.Exchange.Fault)}});
  if (Attempt.Result == AttemptResult::Answered)
    this->Counters.observe(
        Metric::SteeringAttemptSeconds,
        {{"service", Progress.Service}, {"region", Server.Region}},
        Attempt.Time);
  this->Counters.add(
      Metric::SteeringAffinity,
      {{"service", Progress.Service},
       {"standing", cacheAffinityName(Attempt.Decision.Affinity)}});
  if (Attempt.Decision.Cold)
    this->Counters.add(Metric::SteeringColdRequests,
                       {{"service", Progress.Service}});
}

void Gateway::countOutcome(const GatewayRequest &Request, const char *Outcome) {
  const std::string &Route = Request.Route->Name;
  this->Counters.add(Metric::SteeringRequests,
                     {{"route", Route}, {"outcome", Outcome}});
  this->Counters.observe(Metric::SteeringRequestSeconds, {{"route", Route}},
                         Clock::now() - Request.Arrived);
}

HttpMessage Gateway::refuse(const std::string &Id, HttpMessage Refusal,
                            const std::string &DecidedBy, const char *Outcome) {
  this->Counters.add(
      Metric::SteeringRequests,
      {{"route", ""}, {"outcome", Outcome ? Outcome : refusalName(Refusal)}});
  const auto &Config = this->State.Config;
  this->logRateLimited(
      Event::RequestNotAdmitted,
      "not_admitted_" + std::to_string(Refusal.Status), [&] {
        return std::vector<EventField>{
            {"request", Id},
            {"status", std::to_string(Refusal.Status)},
            {"reason", Refusal.Body.substr(0, Refusal.Body.size() - 1)},
            {"config", Config ? std::to_string(Config->Version) : "none"},
            {"keys_valid_ms",
             millisecondText(this->State.KeysValidUntil - bootTime())},
            {"instances",
             std::to_string(this->State.Members.shareHolderCount())},
            {"decided_by", DecidedBy}};
      });
  return Refusal;
}

void Gateway::logFailedAttempt(const GatewayRequest &Request,
                               const ServerAttempt &Attempt) {
  const ExchangeResult &Exchange = Attempt.Exchange;
  const std::string &Server = Attempt.Decision.Server->Record.Id;
  if (Exchange.Fault != MessageFault::None) {
    this->logRateLimited(Event::AnswerMalformed, "answer_malformed", [&] {
      return std::vector<EventField>{
          {"request", Request.Id},
          {"route", Request.Route->Name},
          {"server", Server},
          {"reason", messageFaultName(Exchange.Fault)},
          {"ms", millisecondText(Attempt.Time)}};
    });
    return;
  }
  this->logRateLimited(
      Event::AttemptFailed,
      std::string("attempt_") + attemptResultName(Attempt.Result), [&] {
        return std::vector<EventField>{
            {"request", Request.Id},
            {"route", Request.Route->Name},
            {"server", Server},
            {"result", attemptResultName(Attempt.Result)},
            {"error", Exchange.Error.message()},
            {"ms", millisecondText(Attempt.Time)}};
      });
}

void Gateway::logCallerLeft(const GatewayRequest &Request,
                            const ServerAttempt *Attempt) {
  const bool Sent = Attempt && Attempt->Exchange.MayHaveBeenSent;
  this->logRateLimited(
      Event::CallerLeft, Sent ? "caller_left" : "caller_left_unsent", [&] {
        const Clock::time_point Now = Clock::now();
        const auto Left = Request.Cancel->cancelledAt();
        return std::vector<EventField>{
            {"request", Request.Id},
            {"route", Request.Route->Name},
            {"server", Attempt ? Attempt->Decision.Server->Record.Id : ""},
            {"sent", std::to_string(Sent)},
            {"gone_ms", Left ? millisecondText(Now - *Left) : "unknown"},
            {"ms", millisecondText(Now - Request.Arrived)}};
      });
}

void Gateway::logOutdatedServers(const GatewayRequest &Request,
                                 const Placement &Decision) {
  const Clock::time_point Now = bootTime();
  const Clock::time_point Known = this->State.BackendsCurrentUntil;
  if (areBackendsCurrent({{}, Known, {}}, Now,
                         this->State.Settings.Bounds.DrainTime))
    return;
  this->logRateLimited(Event::OutdatedServersUsed, "outdated_servers", [&] {
    return std::vector<EventField>{
        {"request", Request.Id},
        {"server", Decision.Server->Record.Id},
        {"servers_age_ms", millisecondText(Now - Known)},
        {"standby", std::to_string(this->State.Standby)},
        {"in_service_ms", millisecondText(Now - this->State.InServiceSince)}};
  });
}

void Gateway::logAttempt(const GatewayRequest &Request,
                         const RequestProgress &Progress,
                         const ServerAttempt &Attempt) const {
  const BackendState &Server = *Attempt.Decision.Server;
  logEvent(Event::AttemptAnswered,
           {{"request", Request.Id},
            {"service", Progress.Service},
            {"route", Request.Route->Name},
            {"object", std::to_string(Request.Object.value_or(0) % 10007)},
            {"server", Server.Record.Id},
            {"zone", Server.Record.Zone},
            {"result", attemptResultName(Attempt.Result)},
            {"status", std::to_string(Attempt.Exchange.Response.Status)},
            {"ms", millisecondText(Attempt.Time)},
            {"expected_ms", millisecondText(Attempt.Decision.ExpectedTime)},
            {"standing", std::to_string(int(Attempt.Decision.Affinity))},
            {"cold", std::to_string(Attempt.Decision.Cold)},
            {"running", std::to_string(Server.Load.Running)},
            {"waiting", std::to_string(Server.Load.Waiting)},
            {"own", std::to_string(Server.InFlight)},
            {"slowness", std::to_string(Server.Slowness)}});
}

void Gateway::logOutcome(const GatewayRequest &Request,
                         const RequestProgress &Progress,
                         const Placement &Decision, int Status,
                         const char *Outcome) {
  const auto Describe = [&] {
    return this->outcomeFields(Request, Progress, Decision, Status, Outcome);
  };
  this->logRateLimited(Event::RequestConcluded,
                       "concluded_" + std::to_string(Status), Describe);
}

std::vector<EventField> Gateway::outcomeFields(const GatewayRequest &Request,
                                               const RequestProgress &Progress,
                                               const Placement &Decision,
                                               int Status,
                                               const char *Outcome) const {
  const Clock::time_point Now = Clock::now();
  std::vector<EventField> Fields{
      {"request", Request.Id},
      {"route", Request.Route->Name},
      {"service", Progress.Service},
      {"status", std::to_string(Status)},
      {"outcome", Outcome},
      {"attempts", std::to_string(Progress.Sent)},
      {"unreachable", std::to_string(Progress.Unreachable)},
      {"config", std::to_string(Request.Config->Version)},
      {"ms", millisecondText(Now - Request.Arrived)},
      {"left_ms", millisecondText(Request.Deadline - Now)},
      {"servers", std::to_string(Decision.EligibleServers)},
      {"servers_age_ms",
       millisecondText(bootTime() - this->State.BackendsCurrentUntil)}};
  // State of the best server without free slots, as this instance sees it.
  if (Decision.Outcome == Placement::Result::Full && Decision.Server) {
    const BackendState &Best = *Decision.Server;
    Fields.insert(
        Fields.end(),
        {{"best", Best.Record.Id},
         {"expected_ms", millisecondText(Decision.ExpectedTime)},
         {"running", std::to_string(Best.Load.Running)},
         {"waiting", std::to_string(Best.Load.Waiting)},
         {"own", std::to_string(Best.InFlight)},
         {"slots", std::to_string(Best.Record.Slots)},
         {"load_age_ms", millisecondText(Now - Best.LoadReportedAt)}});
  }
  return Fields;
}

} // namespace rr
