#include "rollout/VersionWindow.h"

namespace rr {

namespace {

constexpr int BucketsPerWindow = 20;

} // namespace

VersionWindow::VersionWindow(Clock::duration Length) : Length(Length) {}

void VersionWindow::add(const std::string &Route, bool IsCandidate,
                        const VersionCounts &Counts, Clock::time_point At) {
  if (this->Buckets.empty() ||
      At - this->Buckets.back().Start >= this->Length / BucketsPerWindow)
    this->Buckets.push_back({At, {}});
  VersionPair &Part = this->Buckets.back().Counts[Route];
  VersionPair &Sum = this->Sums[Route];
  (IsCandidate ? Part.Candidate : Part.Stable) += Counts;
  (IsCandidate ? Sum.Candidate : Sum.Stable) += Counts;
}

void VersionWindow::clear() {
  this->Buckets.clear();
  this->Sums.clear();
}

void VersionWindow::expire(Clock::time_point At) {
  while (!this->Buckets.empty() &&
         At - this->Buckets.front().Start > this->Length) {
    for (const auto &[Route, Part] : this->Buckets.front().Counts) {
      VersionPair &Sum = this->Sums[Route];
      Sum.Candidate -= Part.Candidate;
      Sum.Stable -= Part.Stable;
    }
    this->Buckets.pop_front();
  }
}

} // namespace rr
