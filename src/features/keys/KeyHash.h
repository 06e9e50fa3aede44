#ifndef REDWINGRACK_KEYS_KEYHASH_H
#define REDWINGRACK_KEYS_KEYHASH_H

#include "base/Outcome.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace rr {

/// SHA-256 of a key. The key itself is never stored or sent.
struct KeyHash {
  std::array<std::uint8_t, 32> Bytes{};

  auto operator<=>(const KeyHash &) const = default;
};

KeyHash hashOfKey(std::string_view Key);
std::string toHex(const KeyHash &Hash);
/// Errc::Malformed unless \p Text is 64 lower-case hexadecimal digits.
Outcome<KeyHash> parseKeyHash(std::string_view Text);
/// Takes the same time wherever the hashes differ.
bool isEqual(const KeyHash &Left, const KeyHash &Right);

} // namespace rr

#endif // REDWINGRACK_KEYS_KEYHASH_H
