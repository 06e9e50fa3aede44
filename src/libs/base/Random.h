#ifndef REDWINGRACK_BASE_RANDOM_H
#define REDWINGRACK_BASE_RANDOM_H

#include <cstdint>
#include <random>
#include <string>

namespace rr {

/// Random generator that is passed as a parameter, so that tests can seed it.
using RandomEngine = std::mt19937_64;

/// Cryptographically random token of 32 hexadecimal characters.
std::string randomToken();

/// Seed from the operating system's random source.
std::uint64_t randomSeed();

} // namespace rr

#endif // REDWINGRACK_BASE_RANDOM_H
