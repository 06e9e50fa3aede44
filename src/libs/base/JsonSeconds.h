#ifndef REDWINGRACK_BASE_JSONSECONDS_H
#define REDWINGRACK_BASE_JSONSECONDS_H

#include "base/Clock.h"

#include <nlohmann/json_fwd.hpp>

namespace rr {

/// Reads the time in seconds that the member \p Key of the object \p Value
/// holds. Returns false, and leaves \p Target, if there is no such member, or
/// if it is not a number from -1e9 to 1e9: sums of larger times overflow.
bool readSeconds(const nlohmann::json &Value, const char *Key,
                 Clock::duration &Target);

} // namespace rr

#endif // REDWINGRACK_BASE_JSONSECONDS_H
