#ifndef REDWINGRACK_PLATFORM_PLATFORMJSON_H
#define REDWINGRACK_PLATFORM_PLATFORMJSON_H

#include "base/Outcome.h"
#include "platform/InstanceRecord.h"
#include "platform/Row.h"
#include "platform/Transaction.h"

#include <nlohmann/json.hpp>

namespace rr {

/// Conversions of the platform's types; Errc::Malformed for anything that
/// does not have the expected form.
nlohmann::json toJson(const Row &Item);
nlohmann::json toJson(const Transaction &Item);
nlohmann::json toJson(const InstanceRecord &Item);
Outcome<Row> rowFromJson(const nlohmann::json &Document);
Outcome<Transaction> transactionFromJson(const nlohmann::json &Document);
Outcome<InstanceRecord> instanceFromJson(const nlohmann::json &Document);

/// Parses \p Text; Errc::Malformed when it is no JSON.
Outcome<nlohmann::json> parseJson(const std::string &Text);
/// Formats as UTF-8; bytes that are not valid are replaced.
std::string formatJson(const nlohmann::json &Value);

} // namespace rr

#endif // REDWINGRACK_PLATFORM_PLATFORMJSON_H
