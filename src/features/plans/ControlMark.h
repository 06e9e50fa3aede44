#ifndef REDWINGRACK_PLANS_CONTROLMARK_H
#define REDWINGRACK_PLANS_CONTROLMARK_H

#include <cstdint>

namespace rr {

/// Versions that a change of control state has created; 0 where it changed
/// nothing.
struct ControlMark {
  std::uint64_t Config = 0;
  std::uint64_t Keys = 0;
  std::uint64_t Members = 0;

  bool isSet() const { return this->Config + this->Keys + this->Members > 0; }
  bool operator==(const ControlMark &) const = default;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_CONTROLMARK_H
