#ifndef REDWINGRACK_PLATFORM_ROWWRITE_H
#define REDWINGRACK_PLATFORM_ROWWRITE_H

#include <cstdint>
#include <optional>
#include <string>

namespace rr {

/// A write or a version check within a transaction.
struct RowWrite {
  enum class Kind { Put, Erase, CheckOnly };

  /// Value of ExpectedVersion for a row that must not exist.
  static constexpr std::uint64_t Absent = 0;

  Kind Action = Kind::Put;
  std::string Key;
  std::string Value;
  /// Version that the row must have: Absent if it must not exist, empty for an
  /// unconditional write.
  std::optional<std::uint64_t> ExpectedVersion;
};

} // namespace rr

#endif // REDWINGRACK_PLATFORM_ROWWRITE_H
