#ifndef REDWINGRACK_APP_INTENTCOMMANDS_H
#define REDWINGRACK_APP_INTENTCOMMANDS_H

#include "app/CommandLine.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace rr {

/// Builds the intent from the arguments of `plan ...`. Prints an error and
/// returns nothing if a value is invalid.
std::optional<nlohmann::json> parseIntent(const Arguments &Args);

} // namespace rr

#endif // REDWINGRACK_APP_INTENTCOMMANDS_H
