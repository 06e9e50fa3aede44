#ifndef REDWINGRACK_RETRY_RETRYBUDGET_H
#define REDWINGRACK_RETRY_RETRYBUDGET_H

#include <cstdint>

namespace rr {

/// Limits the retries of an entry instance to a share of its requests, so that
/// retries do not multiply the load on a failing service.
class RetryBudget {
public:
  static constexpr std::uint32_t DefaultPercent = 10;
  /// Maximum number of accumulated retries; covers the loss of one server with
  /// all its slots.
  static constexpr std::uint32_t DefaultReserve = 20;

  /// Starts empty, so that a restart grants no retries.
  explicit RetryBudget(std::uint32_t Percent = DefaultPercent,
                       std::uint32_t Reserve = DefaultReserve);

  /// Replaces both limits; accumulated retries beyond the new reserve are lost.
  void setLimits(std::uint32_t Percent, std::uint32_t Reserve);

  /// Credits the budget for one request from a caller.
  void addRequest();
  /// Takes one retry. Returns false if none is available.
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
