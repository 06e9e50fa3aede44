#include "rollout/VersionStats.h"

namespace rr {

namespace {

// Limits the version statistics in a heartbeat to about 100 KB.
constexpr std::size_t MaxEntries = 1000;

bool isEntry(const nlohmann::json &Item) {
  return Item.is_array() && Item.size() == 5 && Item[0].is_string() &&
         Item[1].is_string() && Item[2].is_number_unsigned() &&
         Item[3].is_number_unsigned() && Item[4].is_number_unsigned();
}

} // namespace

VersionCounts totalOf(const VersionStats &Stats, const std::string &Version) {
  VersionCounts Result;
  for (const auto &[Key, Counts] : Stats.Counts)
    if (Key.second == Version)
      Result += Counts;
  return Result;
}

nlohmann::json encodeVersionStats(const VersionStats &Stats) {
  nlohmann::json Entries = nlohmann::json::array();
  for (const auto &[Key, Counts] : Stats.Counts)
    Entries.push_back(
        {Key.first, Key.second, Counts.Requests, Counts.Failures, Counts.Slow});
  return {{"plan", Stats.Plan}, {"counts", Entries}};
}

Outcome<VersionStats> decodeVersionStats(const nlohmann::json &Value) {
  if (!Value.is_object() || !Value.contains("plan") ||
      !Value["plan"].is_string() || !Value.contains("counts") ||
      !Value["counts"].is_array())
    return failure(Errc::Malformed);
  if (Value["counts"].size() > MaxEntries)
    return failure(Errc::TooLarge);
  VersionStats Result;
  Result.Plan = Value["plan"].get<std::string>();
  for (const nlohmann::json &Item : Value["counts"]) {
    if (!isEntry(Item))
      return failure(Errc::Malformed);
    const VersionCounts Counts{Item[2], Item[3], Item[4]};
    if (Counts.Failures > Counts.Requests || Counts.Slow > Counts.Requests)
      return failure(Errc::Malformed);
    Result.Counts[{Item[0].get<std::string>(), Item[1].get<std::string>()}] =
        Counts;
  }
  return Result;
}

} // namespace rr
