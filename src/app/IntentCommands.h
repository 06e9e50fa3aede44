#ifndef REDWINGRACK_APP_INTENTCOMMANDS_H
#define REDWINGRACK_APP_INTENTCOMMANDS_H

#include "app/CommandLine.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace rr {

/// The intent that the arguments of `plan ...` stand for. Prints an error and
/// returns nothing for wrong values.
std::optional<nlohmann::json> parseIntent(const Arguments &Args);

} // namespace rr

#endif // REDWINGRACK_APP_INTENTCOMMANDS_H
