#include "limits/ShareAllocator.h"

#include "limits/Apportion.h"

#include <algorithm>
#include <numeric>

namespace rr {

namespace {

const WorkspaceDemand *findDemand(const AllocationMember &Member,
                                  const std::string &Workspace) {
  if (!Member.Report)
    return nullptr;
  for (const WorkspaceDemand &Item : Member.Report->Workspaces)
    if (Item.Workspace == Workspace)
      return &Item;
  return nullptr;
}

/// Share that a member keeps before unassigned shares are divided.
ShareAmount retainedShare(const ShareAllocation *Previous,
                          const AllocationMember &Member,
                          const std::string &Workspace) {
  if (Member.Silent)
    return {};
  if (const WorkspaceDemand *Demand = findDemand(Member, Workspace))
    return {std::clamp<MicroRequests>(Demand->Held.Rate, 0, MaxAmount),
            std::clamp<MicroRequests>(Demand->Held.Burst, 0, MaxAmount), 0};
  if (Previous && !Member.Report)
    return shareOf(*Previous, Workspace, Member.Holder);
  return {};
}

MicroRequests sumOf(const std::vector<ShareAmount> &Shares,
                    MicroRequests ShareAmount::*Field) {
  return std::accumulate(Shares.begin(), Shares.end(), MicroRequests{0},
                         [Field](MicroRequests Sum, const ShareAmount &Share) {
                           return Sum + Share.*Field;
                         });
}

/// Reduces one field of the shares in proportion, so that its sum is at most \p
/// Limit.
void capShares(std::vector<ShareAmount> &Shares,
               MicroRequests ShareAmount::*Field, MicroRequests Limit,
               MicroRequests Grain) {
  if (sumOf(Shares, Field) <= Limit)
    return;
  std::vector<double> Weights;
  for (const ShareAmount &Share : Shares)
    Weights.push_back(double(Share.*Field));
  const auto Capped = apportion(Limit, Weights, Grain);
  // Rounding must not increase any share: increases have to wait for the
  // barrier, but a reduction takes effect at once.
  for (std::size_t I = 0; I < Shares.size(); ++I)
    Shares[I].*Field = std::min(Shares[I].*Field, Capped[I]);
}

WorkspaceAllocation
divideWorkspace(const ShareAllocation *Previous, const std::string &Workspace,
                const ShareAmount &Total,
                const std::vector<AllocationMember> &Members) {
  WorkspaceAllocation Result;
  Result.Total = {Total.Rate, Total.Burst, 0};
  if (Members.empty())
    return Result;
  std::vector<ShareAmount> Shares;
  std::vector<MicroRequests> Demands;
  for (const AllocationMember &Member : Members) {
    Shares.push_back(retainedShare(Previous, Member, Workspace));
    const WorkspaceDemand *Demand = findDemand(Member, Workspace);
    Demands.push_back(Demand && !Member.Silent
                          ? std::max<MicroRequests>(Demand->Demand, 0)
                          : 0);
  }
  capShares(Shares, &ShareAmount::Rate, Total.Rate, 1);
  capShares(Shares, &ShareAmount::Burst, Total.Burst, OneRequest);
  const ShareAmount Free = {Total.Rate - sumOf(Shares, &ShareAmount::Rate),
                            Total.Burst - sumOf(Shares, &ShareAmount::Burst),
                            0};
  auto Weights = demandWeights(Demands);
  for (std::size_t I = 0; I < Members.size(); ++I)
    if (Members[I].Silent)
      Weights[I] = 0;
    else if (Free.Burst < OneRequest)
      // If there is no burst to assign, unassigned rate goes to holders with
      // burst.
      Weights[I] = double(Shares[I].Burst);
  const auto Added = divideAllowance(
      Free, Weights, primaryHolderCount(Total.Burst, Members.size()), Shares);
  for (std::size_t I = 0; I < Members.size(); ++I) {
    if (Members[I].Silent)
      continue;
    Shares[I].Rate += Added[I].Rate;
    Shares[I].Burst += Added[I].Burst;
    if (!Shares[I].isZero())
      Result.Shares[Members[I].Holder] = Shares[I];
  }
  return Result;
}

bool sameAllowances(const ShareAllocation &Current,
                    const std::map<std::string, ShareAmount> &Allowances) {
  return std::equal(Current.Workspaces.begin(), Current.Workspaces.end(),
                    Allowances.begin(), Allowances.end(),
                    [](const auto &Row, const auto &Wanted) {
                      return Row.first == Wanted.first &&
                             Row.second.Total.Rate == Wanted.second.Rate &&
                             Row.second.Total.Burst == Wanted.second.Burst;
                    });
}

} // namespace

void ShareAllocator::observe(const ShareAllocation &Current,
                             Clock::time_point Now) {
  if (this->Current && Current.Epoch == this->Current->Epoch &&
      Current.Revision > this->Current->Revision)
    this->Current = Current;
  if (this->Current && Current.Epoch <= this->Current->Epoch)
    return;
  this->Current = Current;
  this->BarrierAt = Now + EpochBarrierTime;
  this->LossSince.clear();
  this->ActiveHolders.clear();
  this->SilentSince.reset();
  for (const auto &[Name, Workspace] : Current.Workspaces)
    for (const auto &[Holder, Share] : Workspace.Shares)
      this->ActiveHolders.insert(Holder);
}

void ShareAllocator::confirmBarrier(std::uint64_t Epoch,
                                    Clock::time_point Now) {
  if (this->Current && this->Current->Epoch == Epoch)
    this->BarrierAt = std::min(this->BarrierAt, Now);
}

bool ShareAllocator::hasLostShares(const std::vector<AllocationMember> &Members,
                                   Clock::time_point Now) {
  // Only reports of this epoch show which of its shares are held.
  for (const AllocationMember &Member : Members)
    if (!Member.Silent &&
        (!Member.Report || Member.Report->Epoch != this->Current->Epoch))
      return false;
  const auto IsShort = [](MicroRequests Held, MicroRequests Total) {
    return double(Held) < (1 - LossFraction) * double(Total);
  };
  bool Result = false;
  for (const auto &[Name, Workspace] : this->Current->Workspaces) {
    ShareAmount Sum;
    for (const AllocationMember &Member : Members)
      if (const WorkspaceDemand *Demand = findDemand(Member, Name);
          Demand && !Member.Silent) {
        Sum.Rate += Demand->Held.Rate;
        Sum.Burst += Demand->Held.Burst;
      }
    // Reports are from different moments, so shares that moved in between may
    // be missing temporarily; only a lasting shortage is a loss.
    if (!IsShort(Sum.Rate, Workspace.Total.Rate) &&
        !IsShort(Sum.Burst, Workspace.Total.Burst))
      this->LossSince.erase(Name);
    else
      Result |=
          Now - this->LossSince.emplace(Name, Now).first->second >= LossDelay;
  }
  return Result;
}

bool ShareAllocator::hasDepartedHolder(
    const std::vector<AllocationMember> &Members, Clock::time_point Now) {
  std::set<ShareHolder> Listed;
  bool AnySilent = false;
  for (const AllocationMember &Member : Members) {
    Listed.insert(Member.Holder);
    if (!Member.Silent)
      this->ActiveHolders.insert(Member.Holder);
    else
      AnySilent |= this->ActiveHolders.contains(Member.Holder);
  }
  if (!AnySilent)
    this->SilentSince.reset();
  else if (!this->SilentSince)
    this->SilentSince = Now;
  return (AnySilent && Now - *this->SilentSince >= SilenceDelay) ||
         !std::includes(Listed.begin(), Listed.end(),
                        this->Current->Holders.begin(),
                        this->Current->Holders.end());
}

std::optional<AllocationReason>
ShareAllocator::dueReason(const std::map<std::string, ShareAmount> &Allowances,
                          const std::vector<AllocationMember> &Members,
                          Clock::time_point Now) {
  if (!this->Current)
    return AllocationReason::NoAllocation;
  for (const AllocationMember &Member : Members)
    if (!this->Current->Holders.contains(Member.Holder))
      return AllocationReason::HolderAdded;
  const bool HasDeparted = this->hasDepartedHolder(Members, Now);
  if (Now < this->BarrierAt)
    return std::nullopt;
  if (!sameAllowances(*this->Current, Allowances))
    return AllocationReason::WorkspaceChanged;
  if (HasDeparted)
    return AllocationReason::HolderGone;
  if (this->hasLostShares(Members, Now))
    return AllocationReason::SharesLost;
  return std::nullopt;
}

ShareAllocation
makeAllocation(const ShareAllocation *Previous, std::uint64_t Fence,
               const std::map<std::string, ShareAmount> &Allowances,
               const std::vector<AllocationMember> &Members) {
  ShareAllocation Result;
  Result.Epoch = Previous ? Previous->Epoch + 1 : 1;
  Result.Fence = Fence;
  for (const AllocationMember &Member : Members)
    Result.Holders.insert(Member.Holder);
  for (const auto &[Name, Total] : Allowances)
    Result.Workspaces[Name] = divideWorkspace(Previous, Name, Total, Members);
  return Result;
}

ShareAllocation addHolders(const ShareAllocation &Current, std::uint64_t Fence,
                           const std::vector<AllocationMember> &Members) {
  ShareAllocation Result = Current;
  ++Result.Revision;
  Result.Fence = Fence;
  for (const AllocationMember &Member : Members)
    Result.Holders.insert(Member.Holder);
  return Result;
}

bool decreasesAcknowledged(const ShareAllocation &Previous, std::uint64_t Epoch,
                           const std::map<ShareHolder, std::uint64_t> &Adopted,
                           const std::set<ShareHolder> &Ended) {
  return std::all_of(Previous.Holders.begin(), Previous.Holders.end(),
                     [&](const ShareHolder &Holder) {
                       const auto Found = Adopted.find(Holder);
                       return Ended.contains(Holder) ||
                              (Found != Adopted.end() &&
                               Found->second >= Epoch);
                     });
}

} // namespace rr
