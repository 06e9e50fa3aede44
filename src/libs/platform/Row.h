#ifndef REDWINGRACK_PLATFORM_ROW_H
#define REDWINGRACK_PLATFORM_ROW_H

#include <cstdint>
#include <string>

namespace rr {

/// A row of the platform's store, which increments the version on each write.
struct Row {
  std::string Key;
  /// JSON text.
  std::string Value;
  std::uint64_t Version = 0;
};

} // namespace rr

#endif // REDWINGRACK_PLATFORM_ROW_H
