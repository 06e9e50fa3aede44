#include "gateway/BoundedLog.h"

namespace rr {

void BoundedLog::beginSecond(Clock::time_point Now) {
  std::vector<EventField> Counts;
  for (const auto &[Outcome, Count] : this->LeftOut)
    Counts.push_back({Outcome, std::to_string(Count)});
  if (!Counts.empty())
    logEvent(Event::RequestLinesLeftOut, Counts);
  this->SecondBegan = Now;
  this->Lines = 0;
  this->LeftOut.clear();
}

bool BoundedLog::write(Event Number, const std::string &Outcome,
                       const std::function<std::vector<EventField>()> &Fields) {
  const Clock::time_point Now = Clock::now();
  if (Now - this->SecondBegan >= std::chrono::seconds(1))
    this->beginSecond(Now);
  if (++this->Lines > LinesPerSecond) {
    ++this->LeftOut[Outcome];
    return false;
  }
  logEvent(Number, Fields());
  return true;
}

} // namespace rr
