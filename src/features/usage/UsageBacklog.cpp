#include "usage/UsageBacklog.h"

#include <algorithm>

namespace rr {

UsageBacklog::UsageBacklog(
    UsageWindow Done,
    std::map<UsageWindow, std::optional<UsageCounts>> StoredRows)
    : NextToClose(Done + 1) {
  for (auto &[Window, Counts] : StoredRows) {
    this->Rows.insert(Window);
    if (Window <= Done)
      continue;
    if (Counts)
      this->Reports[Window] = {std::move(*Counts), true};
    this->NextToClose = std::max(this->NextToClose, Window + 1);
  }
}

void UsageBacklog::close(UsageCounts Counts) {
  this->Reports[this->NextToClose++] = {std::move(Counts), false};
}

void UsageBacklog::leaveOut() { ++this->NextToClose; }

std::optional<UsageWindow> UsageBacklog::dropOldest() {
  if (this->Reports.size() <= MaxWindows)
    return std::nullopt;
  const UsageWindow Window = this->Reports.begin()->first;
  this->Reports.erase(Window);
  return Window;
}

std::vector<UsageWindow> UsageBacklog::unstored() const {
  std::vector<UsageWindow> Result;
  for (const auto &[Window, Item] : this->Reports)
    if (!Item.Stored)
      Result.push_back(Window);
  return Result;
}

std::vector<UsageWindow> UsageBacklog::removable() const {
  return {this->Rows.begin(), this->Rows.upper_bound(this->done())};
}

void UsageBacklog::forgetRows() {
  this->Rows.clear();
  for (auto &Item : this->Reports)
    Item.second.Stored = false;
}

void UsageBacklog::recordStored(const std::vector<UsageWindow> &Windows) {
  for (const UsageWindow Window : Windows) {
    this->Rows.insert(Window);
    const auto Found = this->Reports.find(Window);
    if (Found != this->Reports.end())
      Found->second.Stored = true;
  }
}

void UsageBacklog::recordRemoved(const std::vector<UsageWindow> &Windows) {
  for (const UsageWindow Window : Windows)
    this->Rows.erase(Window);
}

std::optional<UsageWindow> UsageBacklog::nextToSend() const {
  if (this->Reports.empty() || !this->Reports.begin()->second.Stored)
    return std::nullopt;
  return this->Reports.begin()->first;
}

void UsageBacklog::accept(UsageWindow Window) { this->Reports.erase(Window); }

UsageWindow UsageBacklog::done() const {
  return (this->Reports.empty() ? this->NextToClose
                                : this->Reports.begin()->first) -
         1;
}

} // namespace rr
