#include "steering/ShareEligibility.h"

#include "steering/MemberView.h"

namespace rr {

namespace {

/// Shorter than the time after which the others expire the row.
constexpr Clock::duration OwnRowLifetime =
    MemberView::RecordLifetime - std::chrono::milliseconds(300);
/// Read period of the other instances, with a margin.
constexpr Clock::duration RowPropagationTime = std::chrono::milliseconds(2300);

} // namespace

void ShareEligibility::recordExistingRow(Clock::duration Age,
                                         Clock::time_point Now) {
  if (!this->RowWrittenAt)
    this->RowWrittenAt = Now - Age;
}

void ShareEligibility::recordWrite(Clock::time_point Start,
                                   Clock::time_point End, bool Forgotten) {
  if (this->isExpired(End)) {
    this->UsableFrom = Forgotten ? End + RowPropagationTime : End;
    ++this->Tenure;
    this->Redistributed = Forgotten || this->Released;
    this->Released = false;
  }
  this->RowWrittenAt = Start;
}

void ShareEligibility::release() {
  this->RowWrittenAt.reset();
  this->Released = true;
}

bool ShareEligibility::isExpired(Clock::time_point Now) const {
  return !this->RowWrittenAt || Now >= *this->RowWrittenAt + OwnRowLifetime;
}

bool ShareEligibility::mayUseShare(Clock::time_point Now) const {
  return !this->isExpired(Now) && Now >= this->UsableFrom;
}

} // namespace rr
