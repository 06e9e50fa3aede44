#ifndef REDWINGRACK_BASE_RANDOM_H
#define REDWINGRACK_BASE_RANDOM_H

#include <cstdint>
#include <random>
#include <string>

namespace rr {

/// Generator that policy code takes as a parameter, so that tests seed it.
using RandomEngine = std::mt19937_64;

/// Unpredictable token of 32 hexadecimal characters.
std::string randomToken();

/// Seed from the operating system.
std::uint64_t randomSeed();

} // namespace rr

#endif // REDWINGRACK_BASE_RANDOM_H
