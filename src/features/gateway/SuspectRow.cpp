#include "gateway/SuspectRow.h"

#include "base/JsonNumbers.h"
#include "quarantine/Fingerprint.h"

#include <nlohmann/json.hpp>

namespace rr {

using nlohmann::json;

namespace {

/// Keys are PREFIX FINGERPRINT/SERVER_RUN.
const std::string Prefix = "suspect/";
constexpr std::size_t MaxServerRunBytes = 64;

double seconds(Clock::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

std::string keyOf(const CrashObservation &Observation) {
  return Prefix + Observation.Fingerprint + "/" + Observation.ServerRun;
}

} // namespace

bool isSuspectKey(const std::string &Key) { return Key.starts_with(Prefix); }

TableWrite makeSuspectRow(const std::string &Table,
                          const CrashObservation &Observation) {
  return {Table,
          keyOf(Observation),
          json{{"sent_at", seconds(Observation.SentAt)},
               {"lost_at", seconds(Observation.LostAt)}}
              .dump(),
          {}};
}

TableWrite removeSuspectRow(const std::string &Table,
                            const CrashObservation &Observation,
                            StoreVersion Version) {
  TableWrite Write{Table, keyOf(Observation), {}, Version};
  Write.Remove = true;
  return Write;
}

Outcome<CrashObservation> decodeSuspectRow(const TableRow &Row) {
  CrashObservation Observation;
  const std::size_t Separator = Prefix.size() + FingerprintSize;
  if (!isSuspectKey(Row.Key) || Row.Key.size() <= Separator + 1 ||
      Row.Key.size() > Separator + 1 + MaxServerRunBytes ||
      Row.Key[Separator] != '/')
    return failure(Errc::Malformed);
  Observation.Fingerprint = Row.Key.substr(Prefix.size(), FingerprintSize);
  Observation.ServerRun = Row.Key.substr(Separator + 1);
  if (Row.Deleted)
    return Observation;
  const json Value = json::parse(Row.Value, nullptr, false);
  if (!Value.is_object())
    return failure(Errc::Malformed);
  if (!readSeconds(Value, "sent_at", Observation.SentAt) ||
      !readSeconds(Value, "lost_at", Observation.LostAt))
    return failure(Errc::Malformed);
  return Observation;
}

} // namespace rr
