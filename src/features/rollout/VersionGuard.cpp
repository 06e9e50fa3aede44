#include "rollout/VersionGuard.h"

#include "model/FleetConfig.h"

#include <algorithm>
#include <utility>

namespace rr {

namespace {

// Far more than rollouts begin within the delay of a configuration.
constexpr std::size_t MostEarlyStops = 64;

bool isRollout(const VersionSplit &Split) {
  return !Split.CanaryVersion.empty() && !Split.Plan.empty();
}

} // namespace

VersionGuard::VersionGuard(std::string Instance, VersionRule Rule)
    : Instance(std::move(Instance)), Rule(Rule) {}

void VersionGuard::adopt(const FleetConfig &Config) {
  this->ConfigVersion = Config.Version;
  std::erase_if(this->Rollouts, [&](const auto &Item) {
    const VersionSplit *Split = findSplit(Config, Item.first);
    return !Split || Split->Plan != Item.second.Stats.Plan ||
           Split->CanaryVersion != Item.second.Candidate;
  });
  for (const VersionSplit &Split : Config.Splits) {
    if (!isRollout(Split))
      continue;
    const auto Known = this->Rollouts.find(Split.Service);
    if (Known != this->Rollouts.end()) {
      if (std::exchange(Known->second.Share, Split.CanaryShare) !=
          Split.CanaryShare) {
        Known->second.Comparison.resetWindows();
        Known->second.Together.resetWindows();
      }
      continue;
    }
    VersionComparison Comparison(Split.StableVersion, Split.CanaryVersion,
                                 this->Rule);
    Rollout Begun{Split.CanaryVersion, Split.StableVersion, {}, Comparison,
                  Comparison,          Split.CanaryShare,   {}};
    Begun.Stats.Plan = Split.Plan;
    this->Rollouts.emplace(Split.Service, std::move(Begun));
  }
  for (const VersionStop &Stop : std::exchange(this->Early, {}))
    this->merge(Stop);
}

std::optional<VersionStop>
VersionGuard::record(const std::string &Service, const std::string &Route,
                     const std::string &Version, bool Failed,
                     Clock::duration Latency, Clock::time_point At) {
  const auto Found = this->Rollouts.find(Service);
  const bool Rolling = Found != this->Rollouts.end();
  SlowThreshold &Threshold = this->Thresholds[{Service, Route}];
  const bool Slow = !Failed && Threshold.isSlow(Latency);
  // A failure that comes fast says nothing about the latency of answers.
  if (!Failed && (!Rolling || Version == Found->second.Stable))
    Threshold.recordStable(Latency, At);
  if (!Rolling ||
      (Version != Found->second.Candidate && Version != Found->second.Stable))
    return std::nullopt;
  Rollout &Current = Found->second;
  const VersionCounts Counts{1, Failed ? 1U : 0U, Slow ? 1U : 0U};
  Current.Stats.Counts[{Route, Version}] += Counts;
  Current.Comparison.record(Route, Version, Counts, At);
  if (Version != Current.Candidate || (!Failed && !Slow))
    return std::nullopt;
  return this->stopOn(Current, Service, Current.Comparison, At);
}

std::optional<VersionStop> VersionGuard::observe(const std::string &Service,
                                                 const std::string &Source,
                                                 const VersionStats &Reached,
                                                 Clock::time_point At) {
  const auto Found = this->Rollouts.find(Service);
  if (Found == this->Rollouts.end() || Found->second.Stats.Plan != Reached.Plan)
    return std::nullopt;
  Found->second.Together.observe(Source, Reached, At);
  return this->stopOn(Found->second, Service, Found->second.Together, At);
}

std::optional<VersionStop> VersionGuard::stopOn(Rollout &Current,
                                                const std::string &Service,
                                                VersionComparison &Evidence,
                                                Clock::time_point At) {
  if (Current.Stop)
    return std::nullopt;
  const auto Verdict = Evidence.check(At);
  if (!Verdict)
    return std::nullopt;
  Current.Stop =
      VersionStop{Current.Stats.Plan, Service,       Current.Candidate,
                  this->Instance,     Verdict->Text, this->ConfigVersion};
  return Current.Stop;
}

bool VersionGuard::accept(const VersionStop &Stop) {
  const auto Found = this->Rollouts.find(Stop.Service);
  if (Found == this->Rollouts.end() || Found->second.Stats.Plan != Stop.Plan ||
      Found->second.Candidate != Stop.Version)
    return false;
  if (!Found->second.Stop)
    Found->second.Stop = Stop;
  return true;
}

bool VersionGuard::merge(const VersionStop &Stop) {
  if (this->stopForPlan(Stop.Plan))
    return false;
  if (this->accept(Stop))
    return true;
  // The configuration here is as new as the sender's and has no such plan.
  if (Stop.ConfigVersion <= this->ConfigVersion)
    return false;
  const auto Same = [&](const VersionStop &Other) {
    return Other.Plan == Stop.Plan;
  };
  if (this->Early.size() >= MostEarlyStops ||
      std::any_of(this->Early.begin(), this->Early.end(), Same))
    return false;
  this->Early.push_back(Stop);
  return true;
}

bool VersionGuard::isStopped(const std::string &Service,
                             const std::string &Version) const {
  const auto Found = this->Rollouts.find(Service);
  return Found != this->Rollouts.end() && Found->second.Stop &&
         Found->second.Candidate == Version;
}

std::optional<VersionStop>
VersionGuard::stopForPlan(const std::string &Plan) const {
  for (const auto &[Service, Current] : this->Rollouts)
    if (Current.Stats.Plan == Plan)
      return Current.Stop;
  return std::nullopt;
}

const VersionStats *VersionGuard::stats(const std::string &Service) const {
  const auto Found = this->Rollouts.find(Service);
  return Found == this->Rollouts.end() ? nullptr : &Found->second.Stats;
}

} // namespace rr
