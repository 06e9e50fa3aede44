#ifndef REDWINGRACK_PLANS_INTENTJSON_H
#define REDWINGRACK_PLANS_INTENTJSON_H

#include "base/Outcome.h"
#include "plans/Intent.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace rr {

/// Reads an intent. On failure \p Problems has a line for each mistake.
Outcome<Intent> readIntent(const nlohmann::json &Value,
                           std::vector<std::string> &Problems);

/// The intent as JSON; readIntent() reads it back unchanged.
nlohmann::json formatIntent(const Intent &Wish);

} // namespace rr

#endif // REDWINGRACK_PLANS_INTENTJSON_H
