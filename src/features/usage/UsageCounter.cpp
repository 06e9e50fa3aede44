#include "usage/UsageCounter.h"

#include <algorithm>

namespace rr {

UsageCounter::UsageCounter(Clock::duration Window,
                           std::function<TrueTime()> TimeSource)
    : Length(Window), Now(std::move(TimeSource)),
      First(windowAt(this->Now(), Window)) {}

void UsageCounter::record(const std::string &Workspace,
                          Clock::time_point StartedAt) {
  const UsageWindow Window =
      windowAt(this->Now() - (Clock::now() - StartedAt), this->Length);
  if (this->ClosedThrough && Window <= *this->ClosedThrough) {
    ++this->Late;
    return;
  }
  Entry &Item = this->Windows[Window];
  ++Item.Counts[Workspace];
  Item.LastChange = ++this->Changes;
  if (this->Windows.size() > MaxWindows)
    this->Windows.erase(this->Windows.begin());
}

void UsageCounter::closeThrough(UsageWindow Window) {
  this->ClosedThrough = std::max(this->ClosedThrough.value_or(0), Window);
}

void UsageCounter::removeThrough(UsageWindow Window) {
  this->closeThrough(Window);
  this->Windows.erase(this->Windows.begin(), this->Windows.upper_bound(Window));
}

std::map<UsageWindow, UsageCounts>
UsageCounter::changedSince(std::uint64_t After) const {
  std::map<UsageWindow, UsageCounts> Result;
  for (const auto &[Window, Item] : this->Windows)
    if (Item.LastChange > After)
      Result[Window] = Item.Counts;
  return Result;
}

} // namespace rr
