#include "retry/RetryBudget.h"

#include <algorithm>

namespace rr {

namespace {

constexpr std::uint32_t PointsPerRetry = 100;

} // namespace

RetryBudget::RetryBudget(std::uint32_t Percent, std::uint32_t Reserve)
    : PointsPerRequest(Percent), MaxPoints(Reserve * PointsPerRetry) {}

void RetryBudget::setLimits(std::uint32_t Percent, std::uint32_t Reserve) {
  this->PointsPerRequest = Percent;
  this->MaxPoints = Reserve * PointsPerRetry;
  this->Points = std::min(this->Points, this->MaxPoints);
}

void RetryBudget::addRequest() {
  this->Points =
      std::min(this->Points + this->PointsPerRequest, this->MaxPoints);
}

bool RetryBudget::tryTake() {
  if (this->Points < PointsPerRetry)
    return false;
  this->Points -= PointsPerRetry;
  return true;
}

} // namespace rr
