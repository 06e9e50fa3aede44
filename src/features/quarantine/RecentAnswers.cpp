#include "quarantine/RecentAnswers.h"

namespace rr {

namespace {

/// Longer than an observation takes to reach all instances.
constexpr Clock::duration RetentionTime = std::chrono::seconds(6);
constexpr std::size_t MaxAnswers = 4096;

} // namespace

void RecentAnswers::add(const std::string &Fingerprint, Clock::time_point Now) {
  this->expire(Now);
  this->LastAnswers[Fingerprint] = Now;
  this->Order.emplace_back(Now, Fingerprint);
}

void RecentAnswers::expire(Clock::time_point Now) {
  while (!this->Order.empty() &&
         (this->Order.size() >= MaxAnswers ||
          this->Order.front().first + RetentionTime < Now)) {
    const auto Found = this->LastAnswers.find(this->Order.front().second);
    if (Found != this->LastAnswers.end() &&
        Found->second == this->Order.front().first)
      this->LastAnswers.erase(Found);
    this->Order.pop_front();
  }
}

bool RecentAnswers::answeredSince(const std::string &Fingerprint,
                                  Clock::time_point Time) const {
  const auto Found = this->LastAnswers.find(Fingerprint);
  return Found != this->LastAnswers.end() && Found->second > Time;
}

} // namespace rr
