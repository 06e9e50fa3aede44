#include "quarantine/SuspectRecord.h"

#include <algorithm>
#include <utility>

namespace rr {

namespace {

using Entries = std::map<std::string, Clock::time_point>;

// Evicts the entries that expire first, with ties broken by id, so that the
// result does not depend on the merge order.
void evictOldestEntries(Entries &Target) {
  while (Target.size() > SuspectRecord::MaxEntries) {
    const auto Earlier = [](const auto &Left, const auto &Right) {
      return std::pair(Left.second, Left.first) <
             std::pair(Right.second, Right.first);
    };
    Target.erase(std::min_element(Target.begin(), Target.end(), Earlier));
  }
}

void mergeEntries(Entries &Target, const Entries &Other) {
  for (const auto &[Id, Until] : Other) {
    auto &Entry = Target.try_emplace(Id, Until).first->second;
    Entry = std::max(Entry, Until);
  }
  evictOldestEntries(Target);
}

Clock::time_point latestTime(const Entries &Values, Clock::time_point Result) {
  for (const auto &[Id, Until] : Values)
    Result = std::max(Result, Until);
  return Result;
}

} // namespace

void SuspectRecord::merge(const SuspectRecord &Other) {
  mergeEntries(this->Crashes, Other.Crashes);
  mergeEntries(this->Cleared, Other.Cleared);
}

std::size_t SuspectRecord::unclearedCrashes() const {
  return static_cast<std::size_t>(std::count_if(
      this->Crashes.begin(), this->Crashes.end(), [this](const auto &Crash) {
        return this->Cleared.count(Crash.first) == 0;
      }));
}

Clock::time_point SuspectRecord::expiry() const {
  return latestTime(this->Crashes,
                    latestTime(this->Cleared, Clock::time_point::min()));
}

} // namespace rr
