#ifndef REDWINGRACK_LIMITS_SHAREHOLDER_H
#define REDWINGRACK_LIMITS_SHAREHOLDER_H

#include <compare>
#include <cstdint>
#include <string>

namespace rr {

/// One run of an instance. A restarted instance is another holder: it has
/// forgotten what it spent, so nothing that was sent to or allocated for the
/// run before may reach it.
struct ShareHolder {
  std::string Instance;
  std::uint64_t Incarnation = 0;

  auto operator<=>(const ShareHolder &) const = default;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_SHAREHOLDER_H
