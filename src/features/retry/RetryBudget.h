#ifndef REDWINGRACK_RETRY_RETRYBUDGET_H
#define REDWINGRACK_RETRY_RETRYBUDGET_H

#include <cstdint>

namespace rr {

/// Bounds the retries of an entry instance to a share of its requests, so
/// that a failing service is not sent a multiple of its load.
class RetryBudget {
public:
  static constexpr std::uint32_t DefaultPercent = 10;
  /// Retries that may be saved up; covers the loss of one server with all its
  /// slots.
  static constexpr std::uint32_t DefaultReserve = 20;

  /// Starts empty, so that a restart gives no allowance.
  explicit RetryBudget(std::uint32_t Percent = DefaultPercent,
                       std::uint32_t Reserve = DefaultReserve);

  /// Replaces both bounds; retries saved up beyond the new reserve are lost.
  void setLimits(std::uint32_t Percent, std::uint32_t Reserve);

  /// Counts a request that came from a caller.
  void addRequest();
  /// Takes one retry if there is one.
  bool tryTake();
  /// Retries that could be taken now.
  std::uint32_t available() const { return this->Points / 100; }

private:
  // A retry costs 100 points; a request earns as many as the percentage.
  std::uint32_t PointsPerRequest;
  std::uint32_t MaxPoints;
  std::uint32_t Points = 0;
};

} // namespace rr

#endif // REDWINGRACK_RETRY_RETRYBUDGET_H
