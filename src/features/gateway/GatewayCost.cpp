#include "gateway/GatewayAttempt.h"
#include "steering/CompletionCalibration.h"

namespace rr {

namespace {

double seconds(Clock::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

const char *placementResultName(Placement::Result Result) {
  switch (Result) {
  case Placement::Result::Found:
    return "found";
  case Placement::Result::NoServer:
    return "no_server";
  case Placement::Result::Full:
    return "full";
  }
  return "unknown";
}

} // namespace

bool Gateway::placesByCost(const std::string &Service) const {
  const PlaceByCost Setting = this->State.Settings.ByCost;
  return Setting == PlaceByCost::On ||
         (Setting == PlaceByCost::Auto &&
          this->State.ByCost.hasWorkFactors(Service));
}

void Gateway::countPlacement(const GatewayRequest &Request,
                             const RequestProgress &Progress,
                             const Placement &Decision) {
  this->Counters.add(Metric::SteeringPlacements,
                     {{"service", Progress.Service},
                      {"rule", Decision.Cost ? "cost" : "load"},
                      {"result", placementResultName(Decision.Outcome)}});
  if (!Decision.Cost || !isDebugLoggingEnabled())
    return;
  const Clock::time_point Now = Clock::now();
  const BackendState &Server = *Decision.Server;
  const ServerBacklog &Backlog = Server.Backlog;
  logEvent(Event::PlacedByCost,
           {{"request", Request.Id},
            {"service", Progress.Service},
            {"result", placementResultName(Decision.Outcome)},
            {"server", Server.Record.Id},
            {"expected_ms", millisecondText(Decision.ExpectedTime)},
            {"wait_ms", millisecondText(Decision.ExpectedWait)},
            {"standing", std::to_string(int(Decision.Affinity))},
            {"hit_share", std::to_string(Decision.Cost->HitShare)},
            {"others", std::to_string(Backlog.Others)},
            {"mean_others", std::to_string(Backlog.MeanOthers)},
            {"load_age_ms",
             Backlog.Known ? millisecondText(Now - Backlog.ReportedAt) : ""},
            {"own", std::to_string(Server.InFlight)},
            {"slots", std::to_string(Server.Record.Slots)},
            {"work_factor", std::to_string(currentWorkFactor(Backlog, Now))}});
}

void Gateway::recordReport(const RequestProgress &Progress,
                           const ServerAttempt &Attempt,
                           const std::optional<LoadSample> &Load) {
  const Clock::time_point Now = Clock::now();
  const std::string &Service = Progress.Service;
  BackendState &Server = *Attempt.Decision.Server;
  if (!Load) {
    if (Attempt.Result == AttemptResult::NotRun)
      noteFull(Server.Backlog, Server.Record.Slots, Now);
    return;
  }
  if (!Load->WorkFactor &&
      hasWorkFactor(Attempt.Exchange.Response, this->State.Settings.Headers))
    this->logRateLimited(Event::WorkFactorIgnored, "work_factor_ignored", [&] {
      return std::vector<EventField>{
          {"service", Service},
          {"server", Server.Record.Id},
          {"load", *findHeader(Attempt.Exchange.Response.Headers,
                               this->State.Settings.Headers.Load)}};
    });
  const bool Before = this->placesByCost(Service);
  this->State.ByCost.noteReport(
      Server, *Load,
      this->State.Network.roundTrip(Server.Record.Zone, Server.Region), Now);
  const bool After = this->placesByCost(Service);
  if (Before != After)
    logEvent(After ? Event::PlacementByCostBegan : Event::PlacementByCostEnded,
             {{"service", Service}, {"server", Server.Record.Id}});
}

void Gateway::learnCost(const GatewayRequest &Request,
                        const RequestProgress &Progress,
                        const ServerAttempt &Attempt,
                        const std::optional<LoadSample> &Load) {
  if (this->State.Settings.ByCost == PlaceByCost::Off)
    return;
  this->recordReport(Progress, Attempt, Load);
  const HttpMessage &Answer = Attempt.Exchange.Response;
  if (Attempt.Result != AttemptResult::Answered || isServerError(Answer) ||
      !Load || Attempt.Decision.Cold || !this->placesByCost(Progress.Service))
    return;
  const Clock::time_point Now = Clock::now();
  const BackendState &Server = *Attempt.Decision.Server;
  const Clock::duration RoundTrip =
      this->State.Network.roundTrip(Server.Record.Zone, Server.Region);
  const Metrics::Labels Labels{{"service", Progress.Service}};
  if (const auto Decile =
          completionDecile(Attempt.Decision, RoundTrip, Attempt.Time)) {
    this->Counters.add(
        Metric::SteeringPlacementDeciles,
        {{"service", Progress.Service}, {"decile", std::to_string(*Decile)}});
    this->Counters.add(Metric::SteeringPredictedSeconds, Labels,
                       seconds(Attempt.Decision.ExpectedTime));
    this->Counters.add(Metric::SteeringObservedSeconds, Labels,
                       seconds(Attempt.Time));
  }
  this->State.ByCost.noteAnswer(this->placementQuery(Request, Progress, Now),
                                Attempt.Decision, Attempt.Time, RoundTrip,
                                *Load, Answer.Body.size(), Now);
}

} // namespace rr
