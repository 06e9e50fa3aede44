#ifndef REDWINGRACK_STEERING_STABLEHASH_H
#define REDWINGRACK_STEERING_STABLEHASH_H

#include <cstdint>
#include <string_view>

namespace rr {

/// FNV-1a with a final mix. The same on every instance, unlike std::hash.
std::uint64_t stableHash(std::string_view Text);

/// Combines two hashes.
std::uint64_t mixHashes(std::uint64_t Left, std::uint64_t Right);

} // namespace rr

#endif // REDWINGRACK_STEERING_STABLEHASH_H
