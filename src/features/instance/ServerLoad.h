#ifndef REDWINGRACK_INSTANCE_SERVERLOAD_H
#define REDWINGRACK_INSTANCE_SERVERLOAD_H

#include "base/Outcome.h"

#include <cstdint>
#include <string>

namespace rr {

/// A backend server's own report of its load.
struct ServerLoad {
  std::uint64_t Running = 0;
  /// Never 0.
  std::uint64_t Slots = 1;
};

/// Reads the JSON members `running` and `slots`; others are ignored.
/// Errc::Malformed when one is missing or slots is 0.
Outcome<ServerLoad> parseServerLoad(const std::string &Text);

} // namespace rr

#endif // REDWINGRACK_INSTANCE_SERVERLOAD_H
