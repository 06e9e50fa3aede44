#ifndef REDWINGRACK_BASE_JSONNUMBERS_H
#define REDWINGRACK_BASE_JSONNUMBERS_H

#include "base/Clock.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>

namespace rr {

/// Reads the time in seconds that the member \p Key of the object \p Value
/// holds. Returns false, and leaves \p Target, if there is no such member, or
/// if it is not a number from -1e9 to 1e9: sums of larger times overflow.
bool readSeconds(const nlohmann::json &Value, const char *Key,
                 Clock::duration &Target);

/// Reads the whole number from 0 to 2^64 - 1 that the member \p Key of the
/// object \p Value holds. Returns false, and leaves \p Target, if there is no
/// such member, or it holds anything else.
bool readCount(const nlohmann::json &Value, const char *Key,
               std::uint64_t &Target);

} // namespace rr

#endif // REDWINGRACK_BASE_JSONNUMBERS_H
