#include "base/JsonNumbers.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace rr {

namespace {

constexpr double MaxSeconds = 1e9;

} // namespace

bool readSeconds(const nlohmann::json &Value, const char *Key,
                 Clock::duration &Target) {
  const auto Found = Value.find(Key);
  if (Found == Value.end() || !Found->is_number())
    return false;
  const double Seconds = Found->get<double>();
  if (!(std::abs(Seconds) <= MaxSeconds))
    return false;
  // Truncation would read some times a nanosecond earlier than written.
  Target = std::chrono::round<Clock::duration>(
      std::chrono::duration<double>(Seconds));
  return true;
}

bool readCount(const nlohmann::json &Value, const char *Key,
               std::uint64_t &Target) {
  const auto Found = Value.find(Key);
  if (Found == Value.end() || !Found->is_number_unsigned())
    return false;
  Target = Found->get<std::uint64_t>();
  return true;
}

} // namespace rr
