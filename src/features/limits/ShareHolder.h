#ifndef REDWINGRACK_LIMITS_SHAREHOLDER_H
#define REDWINGRACK_LIMITS_SHAREHOLDER_H

#include <compare>
#include <cstdint>
#include <string>

namespace rr {

/// One run of an instance. A restarted instance is a different holder: it no
/// longer knows what it spent, so it must not receive anything that was sent or
/// allocated to the previous run.
struct ShareHolder {
  std::string Instance;
  std::uint64_t Incarnation = 0;

  auto operator<=>(const ShareHolder &) const = default;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_SHAREHOLDER_H
