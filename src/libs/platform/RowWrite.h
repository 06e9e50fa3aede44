#ifndef REDWINGRACK_PLATFORM_ROWWRITE_H
#define REDWINGRACK_PLATFORM_ROWWRITE_H

#include <cstdint>
#include <optional>
#include <string>

namespace rr {

/// One write, or one check, of a transaction.
struct RowWrite {
  enum class Kind { Put, Erase, CheckOnly };

  /// The row must not exist.
  static constexpr std::uint64_t Absent = 0;

  Kind Action = Kind::Put;
  std::string Key;
  std::string Value;
  /// Version that the row must have; Absent when it must not exist; empty
  /// when any will do.
  std::optional<std::uint64_t> ExpectedVersion;
};

} // namespace rr

#endif // REDWINGRACK_PLATFORM_ROWWRITE_H
