#include "steering/MemberView.h"

#include "steering/StableHash.h"

#include <algorithm>

namespace rr {

namespace {

/// MemberView::RecordLifetime for standby instances, which write less often.
constexpr Clock::duration StandbyRecordLifetime = std::chrono::seconds(36);
/// Within this time after a read gap, all instances have written and read
/// again.
constexpr Clock::duration StoreContactSettleTime = std::chrono::seconds(6);
/// An instance whose contact with the store is shorter will read a new record
/// before its StoreContactSettleTime ends.
constexpr Clock::duration MinSettledContact = std::chrono::milliseconds(3500);
/// Older records count as expired even right after a read gap.
constexpr Clock::duration MaxHolderAge = std::chrono::seconds(60);
/// Minimum capacity of a large instance, relative to the largest of its zone.
constexpr double LargeCapacityRatio = 0.5;
/// With fewer large instances, all instances of a zone are active.
constexpr int MinLargeInstances = 2;
/// Fraction of a workspace's rate that is divided evenly, so that demand that
/// moves to another instance can be served at once.
constexpr double EvenlySharedFraction = 0.2;
/// Added to every instance's demand: a fraction of the average, since a demand
/// of a few requests per second is a poor estimate, and a floor in requests per
/// second.
constexpr double AverageDemandWeight = 0.6;
constexpr double DemandFloorPerSecond = 0.05;
/// Token holders per region; every other instance keeps a link to each of them.
constexpr std::size_t MaxQuotaHoldersPerRegion = 3;

} // namespace

void MemberView::apply(MemberRecord Record) {
  const auto Notice = this->Notices.find(Record.Name);
  if (Notice != this->Notices.end() &&
      Notice->second.Incarnation == Record.Incarnation &&
      Notice->second.MadeAt >= Record.WrittenAt)
    Record.Distressed = Notice->second.Distressed;
  else if (Notice != this->Notices.end())
    this->Notices.erase(Notice);
  this->Records[Record.Name] = std::move(Record);
  this->Totals.reset();
}

void MemberView::remove(const std::string &Name) {
  this->Records.erase(Name);
  this->Notices.erase(Name);
  this->Totals.reset();
}

void MemberView::clear() {
  this->Records.clear();
  this->Totals.reset();
}

void MemberView::restartStoreContact() {
  this->StoreContactSince = this->StoreTime;
  this->Totals.reset();
}

void MemberView::recordRead(Clock::duration Time, bool AfterGap) {
  this->StoreTime = this->ReadTime = Time;
  if (AfterGap)
    this->StoreContactSince = Time;
  this->Totals.reset();
}

bool MemberView::isRecent(const MemberRecord &Record,
                          Clock::duration Now) const {
  const Clock::duration Time =
      Record.Standby ? StandbyRecordLifetime : RecordLifetime;
  return Record.Name == this->Self || Record.WrittenAt + Time > Now;
}

bool MemberView::isLive(const MemberRecord &Record) const {
  return !Record.Leaving && this->isRecent(Record, this->StoreTime);
}

bool MemberView::mayServe(const MemberRecord &Record) const {
  return this->isLive(Record) || (!Record.Leaving && this->mayReturn(Record));
}

bool MemberView::isActive(const MemberRecord &Record) const {
  double Largest = 0;
  for (const auto &Item : this->Records)
    if (Item.second.Zone == Record.Zone && this->mayServe(Item.second))
      Largest = std::max(Largest, Item.second.Capacity);
  if (Record.Capacity >= LargeCapacityRatio * Largest)
    return true;
  int Large = 0;
  for (const auto &Item : this->Records)
    if (Item.second.Zone == Record.Zone && this->mayServe(Item.second) &&
        Item.second.Capacity >= LargeCapacityRatio * Largest)
      ++Large;
  return Large < MinLargeInstances;
}

bool MemberView::isActive(const std::string &Name) const {
  const auto Found = this->Records.find(Name);
  return Found == this->Records.end() || this->isActive(Found->second);
}

bool MemberView::isStoreContactRecent() const {
  return this->ReadTime < this->StoreContactSince + StoreContactSettleTime;
}

bool MemberView::mayReturn(const MemberRecord &Record) const {
  return this->isStoreContactRecent() &&
         Record.WrittenAt + MaxHolderAge > this->ReadTime;
}

bool MemberView::holdsShares(const MemberRecord &Record) const {
  if (Record.Name == this->Self)
    return true;
  if (Record.Standby)
    return false;
  // Records are checked against the last read, not the current time: while the
  // store is unavailable no instance can renew its record.
  return this->isRecent(Record, this->ReadTime) || this->mayReturn(Record);
}

bool MemberView::isForgottenByOthers() const {
  return std::any_of(
      this->Records.begin(), this->Records.end(), [this](const auto &Item) {
        const MemberRecord &Record = Item.second;
        return Record.Name != this->Self && !Record.Standby &&
               this->isRecent(Record, this->StoreTime) &&
               Record.StoreContactSince + MinSettledContact <= this->StoreTime;
      });
}

std::vector<std::string>
MemberView::nearbyAddresses(const std::string &Zone, const std::string &Region,
                            std::string MemberRecord::*Address) const {
  std::vector<std::string> Result;
  for (const int Nearness : {0, 1})
    for (const auto &Item : this->Records) {
      const MemberRecord &Record = Item.second;
      const bool Near = Record.Zone == Zone;
      if (Record.Name != this->Self && !Record.Standby && !Record.Joining &&
          this->isLive(Record) && !(Record.*Address).empty() &&
          (Nearness == 0 ? Near : !Near && Record.Region == Region))
        Result.push_back(Record.*Address);
    }
  return Result;
}

const MemberRecord *MemberView::tableReader(const std::string &Region,
                                            const std::string &Table) const {
  const MemberRecord *Best = nullptr;
  std::uint64_t BestHash = 0;
  for (const auto &[Name, Record] : this->Records) {
    const std::uint64_t Hash = mixHashes(stableHash(Table), stableHash(Name));
    if (Record.Region == Region && !Record.Standby && this->isLive(Record) &&
        !Record.PeerAddress.empty() && (!Best || Hash > BestHash) &&
        // An inactive instance may serve for a few seconds only.
        this->isActive(Record)) {
      Best = &Record;
      BestHash = Hash;
    }
  }
  return Best && Best->Name != this->Self ? Best : nullptr;
}

bool MemberView::hasOtherInZone(const std::string &Zone) const {
  return std::any_of(
      this->Records.begin(), this->Records.end(), [&](const auto &Item) {
        return Item.first != this->Self && Item.second.Zone == Zone &&
               this->mayServe(Item.second);
      });
}

const MemberRecord *MemberView::servingPeer(const std::string &Region) const {
  const MemberRecord *Best = nullptr;
  std::uint64_t BestHash = 0;
  for (const auto &[Name, Record] : this->Records) {
    const std::uint64_t Hash =
        mixHashes(stableHash(this->Self), stableHash(Name));
    if (Name != this->Self && Record.Region == Region && !Record.Standby &&
        !Record.Joining && !Record.PeerAddress.empty() &&
        this->isLive(Record) && this->isActive(Record) &&
        (!Best || Hash > BestHash)) {
      Best = &Record;
      BestHash = Hash;
    }
  }
  return Best;
}

std::vector<std::string> MemberView::live() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Record] : this->Records)
    if (this->isLive(Record))
      Names.push_back(Name);
  return Names;
}

std::vector<std::string> MemberView::inService() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Record] : this->Records)
    if (this->isLive(Record) && !Record.Standby)
      Names.push_back(Name);
  return Names;
}

std::size_t MemberView::shareHolderCount() const {
  return this->shareTotals().Holders;
}

const ShareTotals &MemberView::shareTotals() const {
  if (this->Totals)
    return *this->Totals;
  ShareTotals &Result = this->Totals.emplace();
  Result.Holders = this->Records.count(this->Self) ? 0 : 1;
  for (const auto &Item : this->Records) {
    const MemberRecord &Record = Item.second;
    if (!this->holdsShares(Record))
      continue;
    ++Result.Holders;
    ++Result.HoldersByRegion[Record.Region];
    auto &InRegion = Result.DemandByRegion[Record.Region];
    for (const auto &[Workspace, Demand] : Record.Demand) {
      Result.Demand[Workspace] += Demand;
      InRegion[Workspace] += Demand;
    }
  }
  return Result;
}

double MemberView::computeShare(const std::string &Workspace, double Demand,
                                std::size_t Count) const {
  const ShareTotals &All = this->shareTotals();
  const double Even = double(Count) / double(All.Holders);
  const auto Published = All.Demand.find(Workspace);
  const double Total = DemandFloorPerSecond * double(All.Holders) +
                       (Published == All.Demand.end() ? 0 : Published->second);
  const double ByDemand = (DemandFloorPerSecond * double(Count) + Demand +
                           AverageDemandWeight * Total * Even) /
                          (Total * (1 + AverageDemandWeight));
  // After a start or a read gap, instances may hold different demand figures,
  // so the share is capped at the even part.
  const double Most = this->isStoreContactRecent() ? Even : 1;
  return std::min(Most, EvenlySharedFraction * Even +
                            (1 - EvenlySharedFraction) * ByDemand);
}

double MemberView::rateShare(const std::string &Workspace) const {
  const auto Own = this->Records.find(this->Self);
  if (Own == this->Records.end())
    return 1 / double(this->shareHolderCount());
  const auto Demand = Own->second.Demand.find(Workspace);
  return this->computeShare(
      Workspace, Demand == Own->second.Demand.end() ? 0 : Demand->second, 1);
}

double MemberView::regionShare(const std::string &Workspace,
                               const std::string &Region) const {
  const ShareTotals &All = this->shareTotals();
  const auto Count = All.HoldersByRegion.find(Region);
  if (Count == All.HoldersByRegion.end())
    return this->rateShare(Workspace);
  const auto &InRegion = All.DemandByRegion.at(Region);
  const auto Demand = InRegion.find(Workspace);
  return this->computeShare(
      Workspace, Demand == InRegion.end() ? 0 : Demand->second, Count->second);
}

std::vector<std::string> MemberView::regions() const {
  std::vector<std::string> Names;
  for (const auto &Item : this->shareTotals().HoldersByRegion)
    Names.push_back(Item.first);
  return Names;
}

std::string MemberView::largestDeficitRegion(const std::string &Workspace,
                                             double Rate,
                                             const std::string &Region) const {
  const ShareTotals &All = this->shareTotals();
  std::string Result;
  double Most = 0;
  for (const auto &[Name, Demand] : All.DemandByRegion) {
    if (Name == Region)
      continue;
    const auto Found = Demand.find(Workspace);
    const double Need = (Found == Demand.end() ? 0 : Found->second) -
                        Rate * this->regionShare(Workspace, Name);
    if (Result.empty() || Need > Most) {
      Result = Name;
      Most = Need;
    }
  }
  return Result;
}

std::vector<const MemberRecord *>
MemberView::quotaHolders(const std::string &Region) const {
  std::vector<std::pair<std::uint64_t, const MemberRecord *>> Ranked;
  const std::uint64_t Seed = stableHash(Region);
  for (const auto &[Name, Record] : this->Records)
    if (Record.Region == Region && !Record.Standby && !Record.Joining &&
        !Record.PeerAddress.empty() && this->isLive(Record) &&
        this->isActive(Record))
      Ranked.emplace_back(mixHashes(Seed, stableHash(Name)), &Record);
  std::sort(Ranked.rbegin(), Ranked.rend());
  if (Ranked.size() > MaxQuotaHoldersPerRegion)
    Ranked.resize(MaxQuotaHoldersPerRegion);
  std::vector<const MemberRecord *> Result;
  for (const auto &Item : Ranked)
    Result.push_back(Item.second);
  return Result;
}

bool MemberView::isAmongTopRanked(std::uint64_t Item, std::size_t Count) const {
  // No instance has an empty region, so none is preferred.
  return this->isAmongTopRanked(Item, Count, "", "none");
}

bool MemberView::isAmongTopRanked(std::uint64_t Item, std::size_t Count,
                                  const std::string &Region,
                                  const std::string &OwnRegion) const {
  const auto RankOf = [&](const std::string &Name, const std::string &Home) {
    return std::pair(Home == Region, mixHashes(Item, stableHash(Name)));
  };
  const auto Own = RankOf(this->Self, OwnRegion);
  std::size_t Better = 0;
  for (const auto &[Name, Record] : this->Records)
    if (Name != this->Self && this->holdsShares(Record) &&
        RankOf(Name, Record.Region) > Own)
      ++Better;
  return Better < Count;
}

} // namespace rr
