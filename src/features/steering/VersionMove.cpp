#include "steering/VersionMove.h"

#include "base/JsonNumbers.h"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace rr {

namespace {

using nlohmann::json;

double seconds(Clock::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

std::string encodeVersionMove(const VersionMove &Move) {
  return json{{"phase", int(Move.State)},
              {"service", Move.Service},
              {"target", Move.Target},
              {"baseline", Move.Baseline},
              {"rejected", Move.Rejected},
              {"share", Move.Share},
              {"started", seconds(Move.StartedAt)},
              {"stage", seconds(Move.StageStartedAt)},
              {"duration", seconds(Move.Duration)}}
      .dump();
}

Outcome<VersionMove> decodeVersionMove(const std::string &Text) {
  const json Value = json::parse(Text, nullptr, false);
  if (!Value.is_object())
    return failure(Errc::Malformed);
  try {
    VersionMove Move;
    std::uint64_t Phase = 0;
    if (!readCount(Value, "phase", Phase) ||
        Phase > std::uint64_t(VersionMove::Phase::RolledBack))
      return failure(Errc::Malformed);
    Move.State = VersionMove::Phase(Phase);
    Move.Service = Value.at("service").get<std::string>();
    Move.Target = Value.at("target").get<std::string>();
    Move.Baseline = Value.at("baseline").get<std::set<std::string>>();
    Move.Rejected = Value.at("rejected").get<std::set<std::string>>();
    Move.Share = Value.at("share").get<double>();
    if (!readSeconds(Value, "started", Move.StartedAt) ||
        !readSeconds(Value, "stage", Move.StageStartedAt) ||
        !readSeconds(Value, "duration", Move.Duration))
      return failure(Errc::Malformed);
    return Move;
  } catch (const json::exception &) {
    return failure(Errc::Malformed);
  }
}

} // namespace rr
