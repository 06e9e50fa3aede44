#include "gateway/RestoredRows.h"

#include <algorithm>
#include <set>

namespace rr {

bool RestoredRows::recordWholeRead(const TableRows &Read,
                                   Clock::time_point Now) {
  const bool Restored = this->Era && Read.Version.Era > *this->Era;
  this->Era = Read.Version.Era;
  if (!Restored) {
    std::set<std::string> Present;
    for (const TableRow &Row : Read.Rows)
      Present.insert(Row.Key);
    std::erase_if(this->Held, [&Present](const auto &Item) {
      return !Present.contains(Item.first);
    });
    return false;
  }
  this->EraBegan = Now;
  this->Followed = Now - this->KnownUntil <= MaxKnownAge;
  this->Held.clear();
  return true;
}

void RestoredRows::confirm(Clock::time_point AsOf) {
  this->KnownUntil = std::max(this->KnownUntil, AsOf);
}

void RestoredRows::hold(const TableRow &Row) {
  this->Held.insert_or_assign(Row.Key, Row);
}

bool RestoredRows::isHeld(const TableRow &Row) const {
  const auto Found = this->Held.find(Row.Key);
  return Found != this->Held.end() && !Row.Deleted &&
         Found->second.Version == Row.Version;
}

std::vector<TableRow> RestoredRows::held() const {
  std::vector<TableRow> Result;
  for (const auto &Item : this->Held)
    Result.push_back(Item.second);
  return Result;
}

bool wasWrittenAfter(const TableRow &Row, StoreVersion Known) {
  return Row.Version.Era == Known.Era + 1 && Row.Version.Number > Known.Number;
}

} // namespace rr
