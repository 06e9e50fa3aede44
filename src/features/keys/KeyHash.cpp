#include "keys/KeyHash.h"

#include "base/Digest.h"

namespace rr {

namespace {

int digitValue(char Digit) {
  if (Digit >= '0' && Digit <= '9')
    return Digit - '0';
  if (Digit >= 'a' && Digit <= 'f')
    return Digit - 'a' + 10;
  return -1;
}

std::string_view viewOf(const KeyHash &Hash) {
  return {reinterpret_cast<const char *>(Hash.Bytes.data()), Hash.Bytes.size()};
}

} // namespace

KeyHash hashOfKey(std::string_view Key) {
  return parseKeyHash(sha256Hex(Key)).value_or(KeyHash());
}

std::string toHex(const KeyHash &Hash) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Result;
  Result.reserve(2 * Hash.Bytes.size());
  for (const std::uint8_t Byte : Hash.Bytes) {
    Result.push_back(Digits[Byte >> 4]);
    Result.push_back(Digits[Byte & 15]);
  }
  return Result;
}

Outcome<KeyHash> parseKeyHash(std::string_view Text) {
  KeyHash Result;
  if (Text.size() != 2 * Result.Bytes.size())
    return failure(Errc::Malformed);
  for (std::size_t I = 0; I < Result.Bytes.size(); ++I) {
    const int High = digitValue(Text[2 * I]);
    const int Low = digitValue(Text[2 * I + 1]);
    if (High < 0 || Low < 0)
      return failure(Errc::Malformed);
    Result.Bytes[I] = static_cast<std::uint8_t>(16 * High + Low);
  }
  return Result;
}

bool isEqual(const KeyHash &Left, const KeyHash &Right) {
  return equalConstantTime(viewOf(Left), viewOf(Right));
}

} // namespace rr
