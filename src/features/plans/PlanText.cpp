#include "plans/PlanText.h"

#include "rollout/RolloutSchedule.h"

#include <cstdio>

namespace rr {

std::string formatNumber(double Value) {
  char Buffer[40];
  std::snprintf(Buffer, sizeof Buffer, "%.6g", Value);
  return Buffer;
}

std::string formatPercent(double Share) {
  return formatNumber(Share * 100) + "%";
}

std::string formatSeconds(std::chrono::nanoseconds Time) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::seconds>(Time).count()) +
         " s";
}

std::string joinNames(const std::vector<std::string> &Names) {
  constexpr std::size_t Most = 8;
  std::string Result;
  for (std::size_t I = 0; I < Names.size() && I < Most; ++I)
    Result += (I == 0 ? "" : ", ") + Names[I];
  if (Names.size() > Most)
    Result += " and " + std::to_string(Names.size() - Most) + " more";
  return Result;
}

std::chrono::seconds soakOf(const RollOutVersion &Wish, WallTime Begin) {
  if (Wish.Soak.count() > 0)
    return Wish.Soak;
  return RolloutSchedule::defaultSoak(
      std::chrono::duration_cast<std::chrono::seconds>(Wish.Deadline - Begin));
}

} // namespace rr
