#ifndef REDWINGRACK_APP_ADMINCALL_H
#define REDWINGRACK_APP_ADMINCALL_H

#include "app/CommandLine.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace rr {

/// Sends a request to the administration API and returns the JSON response.
/// Prints an error and returns nothing if the request failed or was refused.
std::optional<nlohmann::json> callAdmin(const Arguments &Args,
                                        const std::string &Method,
                                        const std::string &Path,
                                        const std::string &Body = "");

} // namespace rr

#endif // REDWINGRACK_APP_ADMINCALL_H
