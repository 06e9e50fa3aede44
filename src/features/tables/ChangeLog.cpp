#include "tables/ChangeLog.h"

#include <algorithm>

namespace rr {

void ChangeLog::restart(const TableRows &Read) {
  this->clear();
  this->Started = true;
  this->CompleteAfter = this->Version = Read.Version;
  this->StoreTime = Read.StoreTime;
}

void ChangeLog::clear() { *this = ChangeLog(); }

void ChangeLog::append(StoreVersion After, const TableRows &Read,
                       Clock::time_point Now) {
  if (this->Started && Read.Version.Era < this->Version.Era)
    return;
  // Start over if there is a gap, as there is at the begin of an era: changes
  // between the last read and this one would be missing.
  if (!this->Started || After > this->Version) {
    this->clear();
    this->Started = true;
    this->CompleteAfter = this->Version = After;
  }
  for (const TableRow &Row : Read.Rows) {
    auto &[Known, ReadAt] = this->Rows[Row.Key];
    // Overlapping reads may complete in either order; keep the newer row.
    if (Known.Version > Row.Version)
      continue;
    Known = Row;
    ReadAt = Now;
  }
  this->Version = std::max(this->Version, Read.Version);
  this->StoreTime = std::max(this->StoreTime, Read.StoreTime);
  this->expire(Now);
}

void ChangeLog::expire(Clock::time_point Now) {
  for (auto Item = this->Rows.begin(); Item != this->Rows.end();) {
    const auto &[Row, ReadAt] = Item->second;
    if (ReadAt + RetentionPeriod > Now) {
      ++Item;
      continue;
    }
    this->CompleteAfter = std::max(this->CompleteAfter, Row.Version);
    Item = this->Rows.erase(Item);
  }
}

Outcome<TableRows> ChangeLog::changesAfter(std::uint64_t After) const {
  if (!this->Started)
    return failure(Errc::Unavailable);
  const StoreVersion From{this->Version.Era, After};
  if (From < this->CompleteAfter)
    return failure(Errc::Stale);
  TableRows Result;
  Result.Version = this->Version;
  Result.StoreTime = this->StoreTime;
  for (const auto &Item : this->Rows)
    if (Item.second.first.Version > From)
      Result.Rows.push_back(Item.second.first);
  return Result;
}

} // namespace rr
