#include "history/RateBudget.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace rr::history {

void RateBudget::add(Clock::time_point Begin, double Rate) {
  assert(this->Pieces.empty() || this->Pieces.back().Begin <= Begin);
  const double Before = this->Pieces.empty() ? 0 : this->upTo(Begin);
  this->Pieces.push_back({Begin, Rate, Before});
}

double RateBudget::upTo(Clock::time_point Time) const {
  assert(!this->Pieces.empty());
  const auto After =
      std::ranges::upper_bound(this->Pieces, Time, {}, &Piece::Begin);
  const Piece &Current =
      After == this->Pieces.begin() ? *After : *std::prev(After);
  const std::chrono::duration<double> Length = Time - Current.Begin;
  return Current.Before + Current.Rate * Length.count();
}

} // namespace rr::history
