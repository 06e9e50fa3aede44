#include "quarantine/SuspectMessage.h"

#include "quarantine/CrashGuard.h"
#include "quarantine/Fingerprint.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace rr {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using Entries = std::map<std::string, Clock::time_point>;

constexpr std::size_t MaxCrashIdBytes = 128;

json encodeEntries(const Entries &Values, Clock::time_point Now) {
  json Result = json::object();
  for (const auto &[Id, Until] : Values) {
    const auto RemainingMs =
        std::chrono::ceil<milliseconds>(Until - Now).count();
    if (RemainingMs > 0)
      Result[Id] = static_cast<std::uint64_t>(RemainingMs);
  }
  return Result;
}

bool decodeEntries(const json &Object, const char *Key, Clock::time_point Now,
                   Entries &Result) {
  const auto Found = Object.find(Key);
  if (Found == Object.end() || !Found->is_object() ||
      Found->size() > SuspectRecord::MaxEntries)
    return false;
  const auto MaxRemainingMs = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(CrashGuard::SuspicionPeriod)
          .count());
  for (const auto &Item : Found->items()) {
    const json &RemainingMs = Item.value();
    if (Item.key().empty() || Item.key().size() > MaxCrashIdBytes ||
        !RemainingMs.is_number_unsigned() ||
        RemainingMs.get<std::uint64_t>() > MaxRemainingMs)
      return false;
    Result[Item.key()] = Now + milliseconds(RemainingMs.get<std::uint64_t>());
  }
  return true;
}

bool isFingerprint(const std::string &Text) {
  return Text.size() == FingerprintSize &&
         Text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

} // namespace

json encodeSuspect(const SuspectMessage &Value, Clock::time_point Now) {
  json Result;
  Result["fingerprint"] = Value.Fingerprint;
  Result["crashes"] = encodeEntries(Value.Record.Crashes, Now);
  Result["cleared"] = encodeEntries(Value.Record.Cleared, Now);
  return Result;
}

Outcome<SuspectMessage> decodeSuspect(const json &Value,
                                      Clock::time_point Now) {
  SuspectMessage Result;
  if (!Value.is_object() || Value.size() != 3)
    return failure(Errc::Malformed);
  const auto Name = Value.find("fingerprint");
  if (Name == Value.end() || !Name->is_string())
    return failure(Errc::Malformed);
  Result.Fingerprint = Name->get<std::string>();
  if (!isFingerprint(Result.Fingerprint) ||
      !decodeEntries(Value, "crashes", Now, Result.Record.Crashes) ||
      !decodeEntries(Value, "cleared", Now, Result.Record.Cleared))
    return failure(Errc::Malformed);
  return Result;
}

} // namespace rr
