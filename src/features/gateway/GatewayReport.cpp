#include "gateway/GatewayAttempt.h"
#include "gateway/SteeringMetrics.h"
#include "tables/BootTime.h"

namespace rr {

namespace {

/// Outcome of a request that was refused before a server was chosen.
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

void Gateway::write(Event Number, const std::string &Outcome,
                    const std::function<std::vector<EventField>()> &Fields) {
  if (!this->Log.write(Number, Outcome, Fields))
    this->Counters.add(Metric::SteeringLinesLeftOut);
}

void Gateway::countAttempt(const Progress &Sofar, const Attempt &Done) {
  const BackendState &Server = *Done.Where.Server;
  this->Counters.add(Metric::SteeringAttempts,
                     {{"service", Sofar.Service},
                      {"region", Server.Region},
                      {"result", attemptResultName(Done.Result)}});
  if (Done.Result == AttemptResult::Answered)
    this->Counters.observe(
        Metric::SteeringAttemptSeconds,
        {{"service", Sofar.Service}, {"region", Server.Region}}, Done.Time);
  this->Counters.add(Metric::SteeringAffinity,
                     {{"service", Sofar.Service},
                      {"standing", standingName(Done.Where.Affinity)}});
  if (Done.Where.Cold)
    this->Counters.add(Metric::SteeringColdRequests,
                       {{"service", Sofar.Service}});
}

void Gateway::countEnd(const GatewayRequest &Request, const char *Outcome) {
  const std::string &Route = Request.Route->Name;
  this->Counters.add(Metric::SteeringRequests,
                     {{"route", Route}, {"outcome", Outcome}});
  this->Counters.observe(Metric::SteeringRequestSeconds, {{"route", Route}},
                         Clock::now() - Request.Arrived);
}

HttpMessage Gateway::refuse(const std::string &Id, HttpMessage Refusal,
                            const std::string &DecidedBy) {
  this->Counters.add(Metric::SteeringRequests,
                     {{"route", ""}, {"outcome", refusalName(Refusal)}});
  const auto &Config = this->State.Config;
  this->write(
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

void Gateway::logAttempt(const GatewayRequest &Request, const Progress &Sofar,
                         const Attempt &Done) const {
  const BackendState &Server = *Done.Where.Server;
  logEvent(Event::AttemptAnswered,
           {{"request", Request.Id},
            {"service", Sofar.Service},
            {"route", Request.Route->Name},
            {"object", std::to_string(Request.Object.value_or(0) % 10007)},
            {"server", Server.Record.Id},
            {"zone", Server.Record.Zone},
            {"result", attemptResultName(Done.Result)},
            {"status", std::to_string(Done.Exchange.Answer.Status)},
            {"ms", millisecondText(Done.Time)},
            {"expected_ms", millisecondText(Done.Where.ExpectedTime)},
            {"standing", std::to_string(int(Done.Where.Affinity))},
            {"cold", std::to_string(Done.Where.Cold)},
            {"running", std::to_string(Server.Load.Running)},
            {"waiting", std::to_string(Server.Load.Waiting)},
            {"own", std::to_string(Server.InFlight)},
            {"slowness", std::to_string(Server.Slowness)}});
}

void Gateway::logEnd(const GatewayRequest &Request, const Progress &Sofar,
                     const Placement &Where, int Status, const char *Outcome) {
  const auto Describe = [&] {
    return this->describeEnd(Request, Sofar, Where, Status, Outcome);
  };
  this->write(Event::RequestConcluded, "concluded_" + std::to_string(Status),
              Describe);
}

std::vector<EventField> Gateway::describeEnd(const GatewayRequest &Request,
                                             const Progress &Sofar,
                                             const Placement &Where, int Status,
                                             const char *Outcome) const {
  const Clock::time_point Now = Clock::now();
  std::vector<EventField> Fields{
      {"request", Request.Id},
      {"route", Request.Route->Name},
      {"service", Sofar.Service},
      {"status", std::to_string(Status)},
      {"outcome", Outcome},
      {"attempts", std::to_string(Sofar.Sent)},
      {"unreachable", std::to_string(Sofar.Unreachable)},
      {"config", std::to_string(Request.Config->Version)},
      {"ms", millisecondText(Now - Request.Arrived)},
      {"left_ms", millisecondText(Request.Limit - Now)},
      {"servers", std::to_string(Where.EligibleServers)},
      {"servers_age_ms", millisecondText(Now - this->State.BackendsReadAt)}};
  // What the best server that had no room looked like from here.
  if (Where.Outcome == Placement::Result::Full && Where.Server) {
    const BackendState &Best = *Where.Server;
    Fields.insert(
        Fields.end(),
        {{"best", Best.Record.Id},
         {"expected_ms", millisecondText(Where.ExpectedTime)},
         {"running", std::to_string(Best.Load.Running)},
         {"waiting", std::to_string(Best.Load.Waiting)},
         {"own", std::to_string(Best.InFlight)},
         {"slots", std::to_string(Best.Record.Slots)},
         {"load_age_ms", millisecondText(Now - Best.LoadReportedAt)}});
  }
  return Fields;
}

} // namespace rr
