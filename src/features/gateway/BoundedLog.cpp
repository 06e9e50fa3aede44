#include "gateway/BoundedLog.h"

namespace rr {

void BoundedLog::write(Event Number, const std::vector<EventField> &Fields) {
  const Clock::time_point Now = Clock::now();
  if (Now - this->SecondBegan >= std::chrono::seconds(1)) {
    if (this->LeftOut > 0)
      logEvent(Event::RequestLinesLeftOut,
               {{"count", std::to_string(this->LeftOut)}});
    this->SecondBegan = Now;
    this->Lines = 0;
    this->LeftOut = 0;
  }
  if (++this->Lines > LinesPerSecond)
    ++this->LeftOut;
  else
    logEvent(Number, Fields);
}

} // namespace rr
