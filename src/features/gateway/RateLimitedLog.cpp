#include "gateway/RateLimitedLog.h"

namespace rr {

void RateLimitedLog::startInterval(Clock::time_point Now) {
  std::vector<EventField> Counts;
  for (const auto &[Outcome, Count] : this->Suppressed)
    Counts.push_back({Outcome, std::to_string(Count)});
  if (!Counts.empty())
    logEvent(Event::RequestLinesLeftOut, Counts);
  this->IntervalStart = Now;
  this->LinesInInterval = 0;
  this->Suppressed.clear();
}

bool RateLimitedLog::write(
    Event Number, const std::string &Outcome,
    const std::function<std::vector<EventField>()> &Fields) {
  const Clock::time_point Now = Clock::now();
  if (Now - this->IntervalStart >= std::chrono::seconds(1))
    this->startInterval(Now);
  if (++this->LinesInInterval > MaxLinesPerSecond) {
    ++this->Suppressed[Outcome];
    return false;
  }
  logEvent(Number, Fields());
  return true;
}

} // namespace rr
