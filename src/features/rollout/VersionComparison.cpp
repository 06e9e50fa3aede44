#include "rollout/VersionComparison.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace rr {

namespace {

using namespace std::chrono_literals;

constexpr std::array<Clock::duration, 3> WindowLengths{10s, 60s, 600s};
// Minimum requests of the stable version for counts to serve as a reference
// later.
constexpr std::uint64_t MinReferenceRequests = 200;
// With at least this many requests of the stable version in a window, only
// counts of that window are compared, so that a fault of both versions does not
// count against the candidate.
constexpr std::uint64_t MinConcurrentRequests = 30;
// The reference's fraction of slow answers was measured with an earlier
// threshold and under a different load, so the candidate must have twice as
// many.
constexpr std::uint64_t ReferenceSlowFactor = 2;

std::string describe(const char *EventName, const std::string &Route,
                     std::uint64_t Events, std::uint64_t Requests,
                     std::uint64_t StableEvents, std::uint64_t StableRequests) {
  char Buffer[160];
  std::snprintf(Buffer, sizeof Buffer,
                "%llu of %llu answers are %s, against %llu of %llu of the "
                "stable version",
                static_cast<unsigned long long>(Events),
                static_cast<unsigned long long>(Requests), EventName,
                static_cast<unsigned long long>(StableEvents),
                static_cast<unsigned long long>(StableRequests));
  return (Route.empty() ? "on all routes " : "on route " + Route + " ") +
         Buffer;
}

bool hasDecreased(const VersionCounts &Cumulative,
                  const VersionCounts &Previous) {
  return Cumulative.Requests < Previous.Requests ||
         Cumulative.Failures < Previous.Failures ||
         Cumulative.Slow < Previous.Slow;
}

} // namespace

VersionComparison::VersionComparison(std::string Stable, std::string Candidate,
                                     VersionRule Rule)
    : Stable(std::move(Stable)), Candidate(std::move(Candidate)), Rule(Rule),
      Windows(WindowLengths.begin(), WindowLengths.end()) {}

void VersionComparison::record(const std::string &Route,
                               const std::string &Version,
                               const VersionCounts &Counts,
                               Clock::time_point At) {
  const bool IsCandidate = Version == this->Candidate;
  if (!IsCandidate && Version != this->Stable)
    return;
  if (IsCandidate)
    this->Requests += Counts.Requests;
  for (VersionWindow &Window : this->Windows)
    Window.add(Route, IsCandidate, Counts, At);
}

void VersionComparison::observe(const std::string &Source,
                                const VersionStats &Cumulative,
                                Clock::time_point At) {
  VersionStats &Previous = this->Sources[Source];
  for (const auto &[Key, Counts] : Cumulative.Counts) {
    VersionCounts Delta = Counts;
    const auto Known = Previous.Counts.find(Key);
    if (Known != Previous.Counts.end() && !hasDecreased(Counts, Known->second))
      Delta -= Known->second;
    if (Delta != VersionCounts())
      this->record(Key.first, Key.second, Delta, At);
  }
  Previous = Cumulative;
}

void VersionComparison::resetWindows() {
  for (VersionWindow &Window : this->Windows)
    Window.clear();
}

// Uses the shortest window with enough requests, which is the most recent
// evidence.
void VersionComparison::updateReferences() {
  std::map<std::string, VersionCounts> Found;
  for (const VersionWindow &Window : this->Windows)
    for (const auto &[Route, Counts] : Window.sums())
      if (Found[Route].Requests < MinReferenceRequests)
        Found[Route] = Counts.Stable;
  for (const auto &[Route, Counts] : Found) {
    VersionCounts &Reference = this->References[Route];
    if (Counts.Requests >= MinReferenceRequests ||
        Counts.Requests >= Reference.Requests)
      Reference = Counts;
  }
}

std::optional<VersionVerdict>
VersionComparison::checkPair(const std::string &Route,
                             const VersionCounts &Candidate,
                             const VersionCounts &Stable) const {
  if (isWorse(this->Rule, Candidate.Failures, Candidate.Requests,
              Stable.Failures, Stable.Requests))
    return VersionVerdict{
        VersionVerdict::Kind::Failures, Route, Candidate, Stable,
        describe("failures", Route, Candidate.Failures, Candidate.Requests,
                 Stable.Failures, Stable.Requests)};
  if (isWorse(this->Rule, Candidate.Slow, Candidate.Requests, Stable.Slow,
              Stable.Requests))
    return VersionVerdict{VersionVerdict::Kind::Slow, Route, Candidate, Stable,
                          describe("slow", Route, Candidate.Slow,
                                   Candidate.Requests, Stable.Slow,
                                   Stable.Requests)};
  return std::nullopt;
}

std::optional<VersionVerdict>
VersionComparison::checkWindow(const VersionWindow &Window) const {
  VersionCounts Candidate;
  VersionCounts Stable;
  for (const auto &[Route, Counts] : Window.sums()) {
    VersionCounts Baseline = Counts.Stable;
    if (Counts.Stable.Requests < MinConcurrentRequests) {
      Baseline = this->References.at(Route);
      Baseline.Slow =
          std::min(Baseline.Slow * ReferenceSlowFactor, Baseline.Requests);
    }
    if (auto Found = this->checkPair(Route, Counts.Candidate, Baseline))
      return Found;
    // Routes that only one version has served would distort the total.
    if (Counts.Candidate.Requests == 0 || Baseline.Requests == 0)
      continue;
    Candidate += Counts.Candidate;
    Stable += Baseline;
  }
  return this->checkPair("", Candidate, Stable);
}

std::optional<VersionVerdict> VersionComparison::check(Clock::time_point At) {
  for (VersionWindow &Window : this->Windows)
    Window.expire(At);
  this->updateReferences();
  for (const VersionWindow &Window : this->Windows)
    if (auto Found = this->checkWindow(Window))
      return Found;
  return std::nullopt;
}

} // namespace rr
