#include "steering/ShareTenure.h"

#include "steering/MemberView.h"

namespace rr {

namespace {

/// Less than the time after which the others forget a row.
constexpr Clock::duration HoldTime =
    MemberView::LiveTime - std::chrono::milliseconds(300);
/// The others read the rows this often, and a moment later at most.
constexpr Clock::duration JoinTime = std::chrono::milliseconds(2300);

} // namespace

void ShareTenure::noteFound(Clock::duration Age, Clock::time_point Now) {
  if (!this->RowAt)
    this->RowAt = Now - Age;
}

void ShareTenure::noteWritten(Clock::time_point Start, Clock::time_point End,
                              bool Dropped) {
  if (this->isLapsed(End))
    this->JoinsAt = Dropped ? End + JoinTime : End;
  this->RowAt = Start;
}

void ShareTenure::release() { this->RowAt.reset(); }

bool ShareTenure::isLapsed(Clock::time_point Now) const {
  return !this->RowAt || Now >= *this->RowAt + HoldTime;
}

bool ShareTenure::holds(Clock::time_point Now) const {
  return !this->isLapsed(Now) && Now >= this->JoinsAt;
}

} // namespace rr
