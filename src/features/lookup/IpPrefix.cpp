#include "lookup/IpPrefix.h"

#include <algorithm>
#include <charconv>

namespace rr {

namespace {

constexpr unsigned WordBits = 64;
constexpr unsigned V4Bits = 32;
constexpr unsigned V6Bits = 128;

// The upper Length bits of a 64-bit word.
std::uint64_t upperMask(unsigned Length) {
  if (Length == 0)
    return 0;
  return ~std::uint64_t{0} << (WordBits - std::min(Length, WordBits));
}

IpAddress masked(const IpAddress &Address, unsigned Length) {
  IpAddress Result = Address;
  if (Address.IsV4) {
    Result.Low &= upperMask(V4Bits + Length);
    return Result;
  }
  Result.High &= upperMask(std::min(Length, WordBits));
  Result.Low &= upperMask(Length > WordBits ? Length - WordBits : 0);
  return Result;
}

} // namespace

Outcome<IpPrefix> parsePrefix(std::string_view Text) {
  const std::size_t Slash = Text.find('/');
  if (Slash == std::string_view::npos)
    return failure(Errc::Malformed);
  const std::string_view Written = Text.substr(0, Slash);
  const auto Address = parseAddress(Written);
  if (!Address)
    return tl::unexpected(Address.error());
  unsigned Length = 0;
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data() + Slash + 1, End, Length);
  if (Read.ec != std::errc() || Read.ptr != End || Length > V6Bits)
    return failure(Errc::Malformed);
  // The length of an IPv4-mapped prefix counts the 96 mapping bits.
  if (Address->IsV4 && Written.find(':') != std::string_view::npos) {
    if (Length < V6Bits - V4Bits)
      return failure(Errc::Malformed);
    Length -= V6Bits - V4Bits;
  }
  if (Length > (Address->IsV4 ? V4Bits : V6Bits) ||
      masked(*Address, Length) != *Address)
    return failure(Errc::Malformed);
  return IpPrefix{*Address, static_cast<std::uint8_t>(Length)};
}

bool contains(const IpPrefix &Prefix, const IpAddress &Address) {
  return Prefix.Address.IsV4 == Address.IsV4 &&
         masked(Address, Prefix.Length) == Prefix.Address;
}

} // namespace rr
