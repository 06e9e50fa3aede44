#include "rollout/WallTime.h"

#include <ctime>

namespace rr {

namespace {

constexpr const char *TimeFormat = "%Y-%m-%dT%H:%M:%SZ";

} // namespace

std::optional<WallTime> parseWallTime(const std::string &Text) {
  std::tm Parts{};
  const char *End = strptime(Text.c_str(), TimeFormat, &Parts);
  if (!End || *End != '\0')
    return std::nullopt;
  return std::chrono::system_clock::from_time_t(timegm(&Parts));
}

std::string formatWallTime(WallTime Time) {
  const std::time_t Seconds = std::chrono::system_clock::to_time_t(Time);
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Buffer[32];
  return {Buffer, std::strftime(Buffer, sizeof Buffer, TimeFormat, &Parts)};
}

} // namespace rr
