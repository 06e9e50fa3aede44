#include "steering/MemberView.h"

#include <algorithm>

namespace rr {

namespace {

/// With fewer addresses in the zone, a caller gets those of the region.
constexpr std::size_t MinAddresses = 2;

} // namespace

bool MemberView::apply(const LoadNotice &Notice) {
  const auto Found = this->Records.find(Notice.Name);
  if (Found == this->Records.end() ||
      Found->second.Incarnation != Notice.Incarnation ||
      Found->second.WrittenAt > Notice.MadeAt)
    return false;
  const auto Known = this->Notices.find(Notice.Name);
  if (Known != this->Notices.end() && Known->second.MadeAt >= Notice.MadeAt)
    return false;
  this->Notices[Notice.Name] = Notice;
  Found->second.Distressed = Notice.Distressed;
  return true;
}

ZoneLoad MemberView::zoneLoad(const std::string &Zone) const {
  ZoneLoad Load;
  const auto Counts = [&](const MemberRecord &Record) {
    return Record.Zone == Zone && !Record.Standby && this->isLive(Record);
  };
  for (const auto &Item : this->Records)
    if (Item.second.Distressed && Counts(Item.second))
      Load.Overloaded += Item.second.Capacity;
  // isActive() reads all records, so it is not asked without need.
  if (Load.Overloaded == 0)
    return Load;
  for (const auto &Item : this->Records)
    if (!Item.second.Distressed && Counts(Item.second) &&
        !this->isActive(Item.second))
      Load.Helping += Item.second.Capacity;
  return Load;
}

bool MemberView::isNameable(const MemberRecord &Record,
                            bool ZoneOverloaded) const {
  // A standby that fails is detected too late to send callers to it; it leaves
  // standby when it is needed.
  return !Record.Standby && !Record.Joining && this->isLive(Record) &&
         (ZoneOverloaded || this->isActive(Record));
}

std::vector<std::string>
MemberView::addressesFor(const std::string &Zone, const std::string &Region,
                         const std::set<std::string> &HomeRegions,
                         std::size_t MaxAddresses) const {
  std::set<std::string> OverloadedZones;
  for (const auto &Item : this->Records)
    if (Item.second.Distressed && !Item.second.Standby &&
        this->isLive(Item.second))
      OverloadedZones.insert(Item.second.Zone);
  const auto Collect = [&](bool WithOverloaded, const auto &Matches) {
    std::vector<std::string> Result;
    for (const auto &Item : this->Records) {
      const MemberRecord &Record = Item.second;
      if (Result.size() < MaxAddresses && Matches(Record) &&
          (WithOverloaded || !Record.Distressed) &&
          this->isNameable(Record, OverloadedZones.contains(Record.Zone)))
        Result.push_back(Record.Address);
    }
    return Result;
  };
  const auto InZone = [&](const MemberRecord &R) { return R.Zone == Zone; };
  const auto InRegion = [&](const MemberRecord &R) {
    return R.Region == Region;
  };
  const auto InHome = [&](const MemberRecord &R) {
    return HomeRegions.contains(R.Region);
  };
  const auto Any = [](const MemberRecord &) { return true; };
  // Outside the region an overloaded instance is left out as well if possible,
  // but a near one is better than a distant one.
  for (const bool WithOverloaded : {false, true}) {
    auto Result = Collect(WithOverloaded, InZone);
    if (Result.size() >= MinAddresses)
      return Result;
    Result = Collect(WithOverloaded, InRegion);
    if (!Result.empty())
      return Result;
  }
  for (const bool WithOverloaded : {false, true})
    if (auto Result = Collect(WithOverloaded, InHome); !Result.empty())
      return Result;
  for (const bool WithOverloaded : {false, true})
    if (auto Result = Collect(WithOverloaded, Any); !Result.empty())
      return Result;
  return {};
}

} // namespace rr
