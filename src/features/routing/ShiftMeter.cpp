#include "routing/ShiftMeter.h"

#include <algorithm>
#include <cassert>

namespace rr {

namespace {

constexpr std::uint64_t OneRequest = std::uint64_t{1} << 32;

} // namespace

void ShiftMeter::setFraction(double Fraction) {
  // Written so that a NaN becomes 0.
  const double Clamped = Fraction > 0 ? std::min(Fraction, 1.0) : 0;
  const auto Wanted =
      static_cast<std::uint64_t>(Clamped * static_cast<double>(OneRequest));
  if (Wanted == this->PerRequest)
    return;
  this->PerRequest = Wanted;
  this->Credit = 0;
}

void ShiftMeter::see() {
  // At most one whole request stays in credit when moves are not possible for
  // a while; otherwise a burst of moves would follow.
  this->Credit = std::min(this->Credit + this->PerRequest, 2 * OneRequest - 1);
}

bool ShiftMeter::mayMove() const { return this->Credit >= OneRequest; }

void ShiftMeter::move() {
  assert(this->mayMove());
  this->Credit -= OneRequest;
}

} // namespace rr
