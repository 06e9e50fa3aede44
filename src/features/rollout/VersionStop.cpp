#include "rollout/VersionStop.h"

#include "model/JsonReader.h"

namespace rr {

namespace {

constexpr std::size_t MaxReasonBytes = 1000;

} // namespace

nlohmann::json encodeVersionStop(const VersionStop &Stop) {
  return {{"plan", Stop.Plan},       {"service", Stop.Service},
          {"version", Stop.Version}, {"instance", Stop.Instance},
          {"reason", Stop.Reason},   {"config_version", Stop.ConfigVersion}};
}

Outcome<VersionStop> decodeVersionStop(const nlohmann::json &Value) {
  std::vector<std::string> Problems;
  JsonReader Reader(Value, "versionStop", Problems);
  VersionStop Result;
  Result.Plan = Reader.text("plan");
  Result.Service = Reader.text("service");
  Result.Version = Reader.text("version");
  Result.Instance = Reader.text("instance");
  Result.Reason = Reader.textOr("reason", "");
  Result.ConfigVersion = Reader.countOr("config_version", 0, 0);
  if (!Problems.empty())
    return failure(Errc::Malformed);
  if (Result.Reason.size() > MaxReasonBytes)
    return failure(Errc::TooLarge);
  return Result;
}

} // namespace rr
