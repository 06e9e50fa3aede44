#include "lookup/IpAddress.h"

#include <arpa/inet.h>
#include <array>
#include <string>
#include <xxhash.h>

namespace rr {

namespace {

constexpr std::uint64_t MappedV4 = 0xffff;

std::uint64_t readBytes(const unsigned char *Data, std::size_t Count) {
  std::uint64_t Result = 0;
  for (std::size_t I = 0; I < Count; ++I)
    Result = Result << 8 | Data[I];
  return Result;
}

} // namespace

Outcome<IpAddress> parseAddress(std::string_view Text) {
  if (Text.size() >= INET6_ADDRSTRLEN ||
      Text.find('\0') != std::string_view::npos)
    return failure(Errc::Malformed);
  const std::string Terminated(Text);
  std::array<unsigned char, 16> Bytes{};
  if (inet_pton(AF_INET, Terminated.c_str(), Bytes.data()) == 1)
    return IpAddress{0, readBytes(Bytes.data(), 4), true};
  if (inet_pton(AF_INET6, Terminated.c_str(), Bytes.data()) != 1)
    return failure(Errc::Malformed);
  const std::uint64_t High = readBytes(Bytes.data(), 8);
  const std::uint64_t Low = readBytes(Bytes.data() + 8, 8);
  if (High == 0 && Low >> 32 == MappedV4)
    return IpAddress{0, Low & 0xffffffff, true};
  return IpAddress{High, Low, false};
}

std::uint64_t hashAddress(const IpAddress &Address) {
  const std::array<std::uint64_t, 2> Words{Address.High, Address.Low};
  return XXH64(Words.data(), sizeof(Words), Address.IsV4 ? 4 : 6);
}

} // namespace rr
