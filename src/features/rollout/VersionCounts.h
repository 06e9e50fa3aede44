#ifndef REDWINGRACK_ROLLOUT_VERSIONCOUNTS_H
#define REDWINGRACK_ROLLOUT_VERSIONCOUNTS_H

#include <cstdint>

namespace rr {

/// Answers of one version, on one route or on all.
struct VersionCounts {
  std::uint64_t Requests = 0;
  std::uint64_t Failures = 0;
  /// Answers slower than the stable version's 95th percentile.
  std::uint64_t Slow = 0;

  VersionCounts &operator+=(const VersionCounts &Other) {
    this->Requests += Other.Requests;
    this->Failures += Other.Failures;
    this->Slow += Other.Slow;
    return *this;
  }
  VersionCounts &operator-=(const VersionCounts &Other) {
    this->Requests -= Other.Requests;
    this->Failures -= Other.Failures;
    this->Slow -= Other.Slow;
    return *this;
  }
  bool operator==(const VersionCounts &) const = default;
};

} // namespace rr

#endif // REDWINGRACK_ROLLOUT_VERSIONCOUNTS_H
