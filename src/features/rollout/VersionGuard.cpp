#include "rollout/VersionGuard.h"

#include "model/FleetConfig.h"

#include <algorithm>
#include <utility>

namespace rr {

namespace {

// Far more than the number of rollouts that start during the propagation of a
// configuration.
constexpr std::size_t MaxPendingStops = 64;

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
        Known->second.LocalComparison.resetWindows();
        Known->second.FleetComparison.resetWindows();
      }
      continue;
    }
    VersionComparison Comparison(Split.StableVersion, Split.CanaryVersion,
                                 this->Rule);
    Rollout NewRollout{Split.CanaryVersion, Split.StableVersion, {}, Comparison,
                       Comparison,          Split.CanaryShare,   {}};
    NewRollout.Stats.Plan = Split.Plan;
    this->Rollouts.emplace(Split.Service, std::move(NewRollout));
  }
  for (const VersionStop &Stop : std::exchange(this->PendingStops, {}))
    this->merge(Stop);
}

std::optional<VersionStop>
VersionGuard::record(const std::string &Service, const std::string &Route,
                     const std::string &Version, bool Failed,
                     Clock::duration Latency, Clock::time_point At) {
  const auto Found = this->Rollouts.find(Service);
  const bool HasRollout = Found != this->Rollouts.end();
  SlowThreshold &Threshold = this->Thresholds[{Service, Route}];
  const bool Slow = !Failed && Threshold.isSlow(Latency);
  // A fast failure says nothing about the latency of successful answers.
  if (!Failed && (!HasRollout || Version == Found->second.Stable))
    Threshold.recordStable(Latency, At);
  if (!HasRollout ||
      (Version != Found->second.Candidate && Version != Found->second.Stable))
    return std::nullopt;
  Rollout &Current = Found->second;
  const VersionCounts Counts{1, Failed ? 1U : 0U, Slow ? 1U : 0U};
  Current.Stats.Counts[{Route, Version}] += Counts;
  Current.LocalComparison.record(Route, Version, Counts, At);
  if (Version != Current.Candidate || (!Failed && !Slow))
    return std::nullopt;
  return this->stopIfWorse(Current, Service, Current.LocalComparison, At);
}

std::optional<VersionStop> VersionGuard::observe(const std::string &Service,
                                                 const std::string &Source,
                                                 const VersionStats &Cumulative,
                                                 Clock::time_point At) {
  const auto Found = this->Rollouts.find(Service);
  if (Found == this->Rollouts.end() ||
      Found->second.Stats.Plan != Cumulative.Plan)
    return std::nullopt;
  Found->second.FleetComparison.observe(Source, Cumulative, At);
  return this->stopIfWorse(Found->second, Service,
                           Found->second.FleetComparison, At);
}

std::optional<VersionStop>
VersionGuard::stopIfWorse(Rollout &Current, const std::string &Service,
                          VersionComparison &Evidence, Clock::time_point At) {
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

bool VersionGuard::applyStop(const VersionStop &Stop) {
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
  if (this->applyStop(Stop))
    return true;
  // The configuration here is at least as new as the sender's and lacks the
  // plan, so the plan has ended.
  if (Stop.ConfigVersion <= this->ConfigVersion)
    return false;
  const auto IsSamePlan = [&](const VersionStop &Other) {
    return Other.Plan == Stop.Plan;
  };
  if (this->PendingStops.size() >= MaxPendingStops ||
      std::any_of(this->PendingStops.begin(), this->PendingStops.end(),
                  IsSamePlan))
    return false;
  this->PendingStops.push_back(Stop);
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
