#include "steering/MemberView.h"

#include "steering/StableHash.h"

#include <algorithm>

namespace rr {

namespace {

/// The period of the records, the time until they are read, and a margin.
constexpr Clock::duration LiveTime = std::chrono::milliseconds(5200);
/// A caller gets at least this many addresses if there are as many.
constexpr std::size_t FewAddresses = 2;
/// Part of a workspace's rate that is divided evenly, so that demand that
/// moves to another instance finds some at once.
constexpr double EvenPart = 0.25;
/// Added to every instance's demand, in requests a second.
constexpr double DemandFloor = 0.2;

} // namespace

void MemberView::apply(MemberRecord Record) {
  this->Records[Record.Name] = std::move(Record);
}

void MemberView::remove(const std::string &Name) { this->Records.erase(Name); }

bool MemberView::isLive(const MemberRecord &Record) const {
  return !Record.Leaving && (Record.Name == this->Self ||
                             Record.WrittenAt + LiveTime > this->StoreTime);
}

bool MemberView::holdsShares(const MemberRecord &Record) const {
  return Record.Name == this->Self ||
         Record.WrittenAt + LiveTime > this->StoreTime;
}

std::vector<std::string> MemberView::live() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Record] : this->Records)
    if (this->isLive(Record))
      Names.push_back(Name);
  return Names;
}

std::size_t MemberView::holders() const {
  std::size_t Count = this->Records.count(this->Self) ? 0 : 1;
  for (const auto &Item : this->Records)
    Count += this->holdsShares(Item.second) ? 1 : 0;
  return Count;
}

std::vector<std::string>
MemberView::addressesFor(const std::string &Zone, const std::string &Region,
                         const std::set<std::string> &Homes,
                         std::size_t Most) const {
  const auto Collect = [&](const auto &Matches) {
    std::vector<std::string> Result;
    for (const auto &Item : this->Records)
      if (this->isLive(Item.second) && Matches(Item.second) &&
          Result.size() < Most)
        Result.push_back(Item.second.Address);
    return Result;
  };
  auto Result = Collect([&](const MemberRecord &R) { return R.Zone == Zone; });
  if (Result.size() >= FewAddresses)
    return Result;
  Result = Collect([&](const MemberRecord &R) { return R.Region == Region; });
  if (Result.empty())
    Result =
        Collect([&](const MemberRecord &R) { return Homes.count(R.Region); });
  if (Result.empty())
    Result = Collect([](const MemberRecord &) { return true; });
  return Result;
}

double MemberView::rateShare(const std::string &Workspace) const {
  const double Even = 1 / double(this->holders());
  const auto DemandOf = [&](const MemberRecord &Record) {
    const auto Found = Record.Demand.find(Workspace);
    return DemandFloor + (Found == Record.Demand.end() ? 0 : Found->second);
  };
  const auto Own = this->Records.find(this->Self);
  if (Own == this->Records.end())
    return Even;
  double Total = 0;
  for (const auto &Item : this->Records)
    if (this->holdsShares(Item.second))
      Total += DemandOf(Item.second);
  return EvenPart * Even + (1 - EvenPart) * DemandOf(Own->second) / Total;
}

bool MemberView::isChosen(std::uint64_t Item, std::size_t Count) const {
  const std::uint64_t Own = mixHashes(Item, stableHash(this->Self));
  std::size_t Better = 0;
  for (const auto &[Name, Record] : this->Records)
    if (Name != this->Self && this->holdsShares(Record) &&
        mixHashes(Item, stableHash(Name)) > Own)
      ++Better;
  return Better < Count;
}

} // namespace rr
