#include "steering/StableHash.h"

namespace rr {

std::uint64_t mixHashes(std::uint64_t Left, std::uint64_t Right) {
  std::uint64_t Value = Left ^ (Right * 0x9e3779b97f4a7c15ULL);
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31);
}

std::uint64_t stableHash(std::string_view Text) {
  std::uint64_t Value = 0xcbf29ce484222325ULL;
  for (const char Character : Text)
    Value = (Value ^ static_cast<unsigned char>(Character)) * 0x100000001b3ULL;
  return mixHashes(Value, 1);
}

} // namespace rr
