#include "tables/TableCopy.h"

#include <algorithm>
#include <set>

namespace rr {

void TableCopy::applyFull(const TableRows &Read) {
  // Nothing is known of rows that were removed before the first read.
  if (!this->Loaded)
    this->OldestVersion = Read.Version;
  this->Loaded = true;
  std::set<std::string> Present;
  for (const TableRow &Row : Read.Rows)
    Present.insert(Row.Key);
  std::vector<TableRow> Gone;
  for (const auto &[Key, Row] : this->Rows)
    if (!Row.Deleted && !Present.contains(Key))
      Gone.push_back({Key, "", Read.Version, true});
  for (const TableRow &Row : Gone)
    this->apply(Row);
  this->applyChanges(Read);
}

void TableCopy::applyChanges(const TableRows &Read) {
  for (const TableRow &Row : Read.Rows)
    this->apply(Row);
  this->Version = std::max(this->Version, Read.Version);
  this->StoreTime = std::max(this->StoreTime, Read.StoreTime);
  this->forgetRemoved();
}

void TableCopy::apply(const TableRow &Row) {
  TableRow &Known = this->Rows[Row.Key];
  // Reads that overlap may come in either order.
  if (Known.Version > Row.Version)
    return;
  if (Row.Deleted && !Known.Deleted)
    this->Removed.emplace(Row.Version, Row.Key);
  Known = Row;
}

void TableCopy::forgetRemoved() {
  while (this->Removed.size() > MostRemoved) {
    const auto Oldest = this->Removed.begin();
    this->OldestVersion = std::max(this->OldestVersion, Oldest->first);
    const auto Found = this->Rows.find(Oldest->second);
    if (Found != this->Rows.end() && Found->second.Deleted)
      this->Rows.erase(Found);
    this->Removed.erase(Oldest);
  }
}

Outcome<TableRows> TableCopy::changesAfter(std::uint64_t After) const {
  if (!this->Loaded)
    return failure(Errc::Unavailable);
  if (After < this->OldestVersion)
    return failure(Errc::Stale);
  TableRows Result;
  Result.Version = this->Version;
  Result.StoreTime = this->StoreTime;
  for (const auto &Item : this->Rows)
    if (Item.second.Version > After)
      Result.Rows.push_back(Item.second);
  return Result;
}

} // namespace rr
