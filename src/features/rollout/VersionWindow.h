#ifndef REDWINGRACK_ROLLOUT_VERSIONWINDOW_H
#define REDWINGRACK_ROLLOUT_VERSIONWINDOW_H

#include "base/Clock.h"
#include "rollout/VersionCounts.h"

#include <deque>
#include <map>
#include <string>

namespace rr {

/// Sums of both versions' answers per route over a sliding window, kept in
/// buckets of 1/20 of its length.
class VersionWindow {
public:
  struct VersionPair {
    VersionCounts Candidate;
    VersionCounts Stable;
  };
  using RouteCounts = std::map<std::string, VersionPair>;

  explicit VersionWindow(Clock::duration Length);

  void add(const std::string &Route, bool IsCandidate,
           const VersionCounts &Counts, Clock::time_point At);
  void clear();
  void expire(Clock::time_point At);
  const RouteCounts &sums() const { return this->Sums; }

private:
  struct Bucket {
    Clock::time_point Start;
    RouteCounts Counts;
  };

  Clock::duration Length;
  std::deque<Bucket> Buckets;
  RouteCounts Sums;
};

} // namespace rr

#endif // REDWINGRACK_ROLLOUT_VERSIONWINDOW_H
