#include "base/Random.h"

#include "base/Digest.h"

#include <array>
#include <openssl/rand.h>
#include <string_view>

namespace rr {

namespace {

constexpr std::size_t TokenLength = 32;

} // namespace

std::string randomToken() {
  std::array<unsigned char, 32> Bytes{};
  RAND_bytes(Bytes.data(), static_cast<int>(Bytes.size()));
  const std::string_view View(reinterpret_cast<const char *>(Bytes.data()),
                              Bytes.size());
  return sha256Hex(View).substr(0, TokenLength);
}

std::uint64_t randomSeed() {
  std::random_device Device;
  return (std::uint64_t{Device()} << 32) | Device();
}

} // namespace rr
