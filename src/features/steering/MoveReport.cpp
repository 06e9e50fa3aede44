#include "steering/MoveReport.h"

#include <nlohmann/json.hpp>

namespace rr {

using nlohmann::json;

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
    Report.OldInFlight = Value.at("old").get<int>();
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
