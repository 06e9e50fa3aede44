#include "routing/OwnerTable.h"

#include "model/FleetConfig.h"
#include "routing/Rendezvous.h"

#include <unordered_map>

namespace rr {

namespace {

// Stands for an owner that this instance did not see.
constexpr const char *UnknownOwner = "?";

const OwnerMember *best(const std::string &Server, const std::string &Place,
                        std::string OwnerMember::*PlaceOf,
                        const std::vector<OwnerMember> &Members) {
  const OwnerMember *Best = nullptr;
  std::uint64_t BestWeight = 0;
  for (const OwnerMember &Member : Members) {
    if (Member.*PlaceOf != Place)
      continue;
    const std::uint64_t Weight = rendezvousWeight(Server, Member.Name);
    if (!Best || Weight > BestWeight ||
        (Weight == BestWeight && Member.Name < Best->Name)) {
      Best = &Member;
      BestWeight = Weight;
    }
  }
  return Best;
}

} // namespace

std::string OwnerTable::winner(const OwnedServer &Server,
                               const std::vector<OwnerMember> &Members) const {
  const OwnerMember *Best =
      best(Server.Server, Server.Zone, &OwnerMember::Zone, Members);
  if (!Best)
    Best = best(Server.Server, Server.Region, &OwnerMember::Region, Members);
  return Best ? Best->Name : std::string();
}

void OwnerTable::update(const FleetConfig &Config,
                        const std::vector<OwnerMember> &Members, bool May,
                        Clock::time_point Now) {
  std::unordered_map<std::string_view, const OwnedServer *> Before;
  for (const OwnedServer &Server : this->Servers)
    Before.emplace(Server.Server, &Server);
  std::vector<OwnedServer> After;
  After.reserve(Config.Servers.size());
  for (const BackendServer &Item : Config.Servers) {
    OwnedServer Server{Item.Name, Item.Zone,    regionOfZone(Config, Item.Zone),
                       {},        UnknownOwner, Now + OwnerHandOverWait};
    Server.Owner = this->winner(Server, Members);
    const auto Old = Before.find(Item.Name);
    if (Old != Before.end()) {
      const OwnedServer &Known = *Old->second;
      // Gaining the right to own is a change of owner too: somebody else may
      // have had the server in the meantime.
      const bool Regained = !this->MayOwn && May && Server.Owner == this->Self;
      if (Known.Owner == Server.Owner && !Regained) {
        Server.Previous = Known.Previous;
        Server.WaitUntil = Known.WaitUntil;
      } else if (!Regained) {
        // During a hand-over either of two earlier owners may still send, so
        // that no single acknowledgement ends the wait.
        const bool TwoBefore = !Known.Previous.empty() && Now < Known.WaitUntil;
        if (!TwoBefore && !Known.Owner.empty())
          Server.Previous = Known.Owner;
      }
    }
    After.push_back(std::move(Server));
  }
  this->Servers = std::move(After);
  this->Positions.clear();
  for (std::size_t I = 0; I < this->Servers.size(); ++I)
    this->Positions.emplace(this->Servers[I].Server, I);
  this->MayOwn = May;
}

void OwnerTable::acknowledge(std::string_view Name, std::string_view Previous) {
  for (OwnedServer &Server : this->Servers)
    if (Server.Server == Name && Server.Previous == Previous)
      Server.Previous.clear();
}

void OwnerTable::instanceEnded(std::string_view Instance) {
  for (OwnedServer &Server : this->Servers)
    if (Server.Previous == Instance)
      Server.Previous.clear();
}

bool OwnerTable::owns(std::string_view Name, Clock::time_point Now) const {
  const OwnedServer *Server = this->find(Name);
  return Server && this->MayOwn && Server->Owner == this->Self &&
         (Server->Previous.empty() || Now >= Server->WaitUntil);
}

std::string_view OwnerTable::ownerOf(std::string_view Name) const {
  const OwnedServer *Server = this->find(Name);
  return Server ? std::string_view(Server->Owner) : std::string_view();
}

const OwnedServer *OwnerTable::find(std::string_view Name) const {
  const auto Found = this->Positions.find(Name);
  return Found == this->Positions.end() ? nullptr
                                        : &this->Servers[Found->second];
}

} // namespace rr
