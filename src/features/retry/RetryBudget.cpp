#include "retry/RetryBudget.h"

#include <algorithm>

namespace rr {

namespace {

constexpr std::uint32_t PointsPerRetry = 100;

} // namespace

RetryBudget::RetryBudget(std::uint32_t Percent, std::uint32_t Reserve)
    : PointsPerRequest(Percent), MostPoints(Reserve * PointsPerRetry) {}

void RetryBudget::addRequest() {
  this->Points =
      std::min(this->Points + this->PointsPerRequest, this->MostPoints);
}

bool RetryBudget::tryTake() {
  if (this->Points < PointsPerRetry)
    return false;
  this->Points -= PointsPerRetry;
  return true;
}

} // namespace rr
