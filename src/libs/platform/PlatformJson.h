#ifndef REDWINGRACK_PLATFORM_PLATFORMJSON_H
#define REDWINGRACK_PLATFORM_PLATFORMJSON_H

#include "base/Outcome.h"
#include "platform/InstanceRecord.h"
#include "platform/Row.h"
#include "platform/Transaction.h"

#include <nlohmann/json.hpp>

namespace rr {

/// Conversions between the platform's types and JSON. Errc::Malformed if the
/// document does not have the expected structure.
nlohmann::json toJson(const Row &Item);
nlohmann::json toJson(const Transaction &Item);
nlohmann::json toJson(const InstanceRecord &Item);
Outcome<Row> rowFromJson(const nlohmann::json &Document);
Outcome<Transaction> transactionFromJson(const nlohmann::json &Document);
Outcome<InstanceRecord> instanceFromJson(const nlohmann::json &Document);

/// Parses \p Text; Errc::Malformed if it is not valid JSON.
Outcome<nlohmann::json> parseJson(const std::string &Text);
/// Formats as UTF-8; invalid bytes are replaced by U+FFFD.
std::string formatJson(const nlohmann::json &Value);

} // namespace rr

#endif // REDWINGRACK_PLATFORM_PLATFORMJSON_H
