#ifndef REDWINGRACK_TABLES_STOREVERSION_H
#define REDWINGRACK_TABLES_STOREVERSION_H

#include <compare>
#include <cstdint>
#include <string>

namespace rr {

/// Version of the platform store. Its number rises with each write. When the
/// store comes back from an older copy, the number goes back and the era
/// rises, so that versions are ordered by era first.
struct StoreVersion {
  constexpr StoreVersion() = default;
  constexpr StoreVersion(std::uint64_t Era, std::uint64_t Number)
      : Era(Era), Number(Number) {}

  /// 0 if the store does not tell it.
  std::uint64_t Era = 0;
  std::uint64_t Number = 0;

  friend auto operator<=>(const StoreVersion &, const StoreVersion &) = default;

  /// As a condition of a write: the row must not exist, in whatever era.
  bool meansAbsent() const { return this->Number == 0; }
  /// "ERA.NUMBER", for logs.
  std::string text() const {
    return std::to_string(this->Era) + "." + std::to_string(this->Number);
  }
};

/// As a condition of a write: the row must not exist.
inline constexpr StoreVersion NoRow{};

} // namespace rr

#endif // REDWINGRACK_TABLES_STOREVERSION_H
