#include "history/CapMeter.h"

#include <algorithm>

namespace rr::history {

void CapMeter::setCap(double Value) {
  if (Value > this->Cap)
    for (auto &[Id, Weight] : this->Open) {
      this->Allowance += std::max(0.0, Value - Weight);
      Weight = std::max(Weight, Value);
    }
  this->Cap = Value;
}

void CapMeter::sent(const std::string &RequestId) {
  if (this->Open.emplace(RequestId, this->Cap).second)
    this->Allowance += this->Cap;
}

void CapMeter::ended(const std::string &RequestId) {
  this->Open.erase(RequestId);
}

void CapMeter::moved(const std::string &RequestId) {
  this->Moved.insert(RequestId);
}

bool CapMeter::isExceeded() const {
  // Sums of fractions such as 0.01 are off by less than this.
  constexpr double Rounding = 1e-6;
  return static_cast<double>(this->Moved.size()) > this->Allowance + Rounding;
}

} // namespace rr::history
