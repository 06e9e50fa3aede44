#include "plans/RolloutTraffic.h"

#include "model/FleetConfig.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace rr {

namespace {

const std::array<std::string, 3> Routes{"read", "write", "search"};
constexpr double MedianMilliseconds = 8;
constexpr double LatencySpread = 0.5;
constexpr double StableFailures = 0.002;
constexpr Clock::duration HeartbeatInterval = std::chrono::seconds(1);
// Instances that see the counts of all others.
constexpr std::size_t Relays = 2;

} // namespace

RolloutTraffic::RolloutTraffic(std::uint64_t Seed,
                               std::vector<std::string> Instances,
                               double RequestsPerSecond, Candidate Version2)
    : Engine(Seed), Rate(RequestsPerSecond), Version2(std::move(Version2)),
      Begin(Clock::now()) {
  for (std::string &Name : Instances)
    this->Instances.push_back({Name, VersionGuard(Name)});
}

bool RolloutTraffic::takesCandidate(Instance &At, double Share) const {
  if (this->Guarded && At.Guard.isStopped("stock", "2"))
    return false;
  // Credit of at most one request, so that a pause saves up no burst.
  At.Credit = std::min(At.Credit + Share, 1.0);
  if (At.Credit < 1)
    return false;
  At.Credit -= 1;
  return true;
}

void RolloutTraffic::send(Instance &At, double Share) {
  std::uniform_real_distribution<double> Draw(0, 1);
  std::lognormal_distribution<double> Latency(std::log(MedianMilliseconds),
                                              LatencySpread);
  const auto Now = Clock::now();
  const std::string &Route = Routes[this->Engine() % Routes.size()];
  const bool New = Share > 0 && this->takesCandidate(At, Share);
  Quality Own{StableFailures, 1};
  if (New)
    Own = this->Version2(Now - this->Begin, Share, Route);
  const double Outside =
      this->Surroundings ? this->Surroundings(Now - this->Begin) : 0;
  const bool Failed = Draw(this->Engine) < Own.Failures + Outside;
  const double Milliseconds = Latency(this->Engine) * Own.Slowness;
  ++(New ? this->CandidateRequests : this->StableRequests);
  const bool Faulty =
      New && (Own.Failures > StableFailures || Own.Slowness > 1);
  if (Faulty) {
    ++this->FaultyRequests;
    this->LastFaulty = Now;
  }
  if (Faulty && (Failed || Own.Slowness > 1)) {
    ++this->HarmedRequests;
    this->FirstFault = this->FirstFault.value_or(Now);
  }
  const auto Time = std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double, std::milli>(Milliseconds));
  const std::string Version = New ? "2" : "1";
  this->Totals.Counts[{Route, Version}] += {1, Failed ? 1U : 0U, 0};
  if (auto Stop = At.Guard.record("stock", Route, Version, Failed, Time, Now))
    this->Messages.push_back(*Stop);
}

void RolloutTraffic::tick(
    Clock::duration Step,
    const std::function<const FleetConfig &(const std::string &)> &ConfigOf) {
  const double Seconds = std::chrono::duration<double>(Step).count();
  std::poisson_distribution<int> Arrivals(
      this->Rate * Seconds / static_cast<double>(this->Instances.size()));
  for (const VersionStop &Stop : std::exchange(this->Messages, {}))
    for (Instance &At : this->Instances)
      At.Guard.merge(Stop);
  this->exchangeReports();
  for (Instance &At : this->Instances) {
    const FleetConfig &Config = ConfigOf(At.Name);
    if (At.Adopted != Config.Version)
      At.Guard.adopt(Config);
    At.Adopted = Config.Version;
    const VersionSplit *Split = findSplit(Config, "stock");
    double Share = Split ? Split->CanaryShare : 0;
    if (Split && Split->StableVersion == "2")
      Share = 1;
    for (int Left = Arrivals(this->Engine); Left > 0; --Left)
      this->send(At, Share);
  }
}

void RolloutTraffic::exchangeReports() {
  const auto Now = Clock::now();
  if (Now - this->LastReports < HeartbeatInterval)
    return;
  this->LastReports = Now;
  const std::vector<VersionReport> Reports = this->reports();
  for (std::size_t I = 0; I < Relays && I < this->Instances.size(); ++I)
    for (const VersionReport &Item : Reports)
      if (auto Stop = this->Instances[I].Guard.observe("stock", Item.Instance,
                                                       Item.Stats, Now))
        this->Messages.push_back(*Stop);
}

std::vector<VersionReport> RolloutTraffic::reports() const {
  std::vector<VersionReport> Result;
  for (const Instance &At : this->Instances)
    if (const VersionStats *Stats = At.Guard.stats("stock"))
      Result.push_back({At.Name, *Stats});
  return Result;
}

std::optional<VersionStop>
RolloutTraffic::stopOf(const std::string &Plan) const {
  for (const Instance &At : this->Instances)
    if (auto Stop = At.Guard.stopForPlan(Plan))
      return Stop;
  return std::nullopt;
}

} // namespace rr
