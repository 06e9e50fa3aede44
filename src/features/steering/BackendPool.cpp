#include "steering/BackendPool.h"

#include "steering/StableHash.h"

#include <algorithm>

namespace rr {

BackendPool::BackendPool(std::map<std::string, std::string> Zones)
    : Regions(std::move(Zones)) {}

BackendPtr BackendPool::apply(const BackendRecord &Record,
                              Clock::time_point Now) {
  BackendPtr &Slot = this->ById[Record.Id];
  BackendPtr Previous;
  const bool SameRun = Slot && Slot->Record.StartTimeMs == Record.StartTimeMs &&
                       Slot->Record.Address == Record.Address &&
                       Slot->Record.Service == Record.Service &&
                       Slot->Record.Version == Record.Version;
  if (Slot && !SameRun) {
    this->unlink(Slot);
    Slot->Removed = true;
    Previous = std::move(Slot);
    Slot = nullptr;
  }
  if (!Slot || Slot->Record.Draining != Record.Draining ||
      Slot->Record.Zone != Record.Zone)
    ++this->Generations[Record.Service];
  if (!Slot) {
    Slot = std::make_shared<BackendState>();
    Slot->Record = Record;
    Slot->Hash = stableHash(Record.Id);
    const auto Found = this->Regions.find(Record.Zone);
    Slot->Region = Found == this->Regions.end() ? Record.Zone : Found->second;
    this->ByService[Record.Service].push_back(Slot);
  }
  // The entry proves that the server runs and reaches the store.
  Slot->Record = Record;
  Slot->MaybeCold = false;
  if (Record.ColdRemaining > Clock::duration::zero())
    Slot->ColdUntil = Now + Record.ColdRemaining;
  return Previous;
}

BackendPtr BackendPool::remove(const std::string &Id) {
  const auto Found = this->ById.find(Id);
  if (Found == this->ById.end())
    return nullptr;
  BackendPtr State = Found->second;
  State->Removed = true;
  this->unlink(State);
  this->ById.erase(Found);
  return State;
}

std::uint64_t BackendPool::generation(const std::string &Service) const {
  const auto Found = this->Generations.find(Service);
  return Found == this->Generations.end() ? 0 : Found->second;
}

void BackendPool::unlink(const BackendPtr &State) {
  ++this->Generations[State->Record.Service];
  auto &List = this->ByService[State->Record.Service];
  List.erase(std::remove(List.begin(), List.end(), State), List.end());
}

const std::vector<BackendPtr> &
BackendPool::serversForService(const std::string &Service) const {
  static const std::vector<BackendPtr> None;
  const auto Found = this->ByService.find(Service);
  return Found == this->ByService.end() ? None : Found->second;
}

std::vector<BackendPtr> BackendPool::all() const {
  std::vector<BackendPtr> Result;
  for (const auto &Item : this->ById)
    Result.push_back(Item.second);
  return Result;
}

BackendPtr BackendPool::find(const std::string &Id) const {
  const auto Found = this->ById.find(Id);
  return Found == this->ById.end() ? nullptr : Found->second;
}

std::vector<std::string> BackendPool::ids() const {
  std::vector<std::string> Result;
  for (const auto &Item : this->ById)
    Result.push_back(Item.first);
  return Result;
}

std::set<std::string> BackendPool::versions(const std::string &Service) const {
  std::set<std::string> Result;
  for (const BackendPtr &State : this->serversForService(Service))
    Result.insert(State->Record.Version);
  return Result;
}

void BackendPool::markMaybeCold(const std::string &Zone) {
  for (const auto &Item : this->ById)
    if (Item.second->Record.Zone == Zone)
      Item.second->MaybeCold = true;
}

} // namespace rr
