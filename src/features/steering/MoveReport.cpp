#include "steering/MoveReport.h"

#include "base/JsonNumbers.h"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace rr {

using nlohmann::json;

namespace {

/// Far above the requests that one instance can have in flight.
constexpr std::uint64_t MaxInFlight = 1'000'000;

} // namespace

std::string encodeMoveReport(const MoveReport &Report) {
  return json{{"target", Report.Target},
              {"share", Report.Share},
              {"old", Report.OldInFlight},
              {"stats", encodeVersionStats(Report.Stats)}}
      .dump();
}

Outcome<MoveReport> decodeMoveReport(const std::string &Text) {
  const json Value = json::parse(Text, nullptr, false);
  if (!Value.is_object())
    return failure(Errc::Malformed);
  try {
    MoveReport Report;
    Report.Target = Value.at("target").get<std::string>();
    Report.Share = Value.at("share").get<double>();
    std::uint64_t OldInFlight = 0;
    if (!readCount(Value, "old", OldInFlight) || OldInFlight > MaxInFlight)
      return failure(Errc::Malformed);
    Report.OldInFlight = static_cast<int>(OldInFlight);
    auto Stats = decodeVersionStats(Value.at("stats"));
    if (!Stats)
      return tl::unexpected(Stats.error());
    Report.Stats = std::move(*Stats);
    return Report;
  } catch (const json::exception &) {
    return failure(Errc::Malformed);
  }
}

} // namespace rr
