#include "instance/LinkKeeper.h"

#include "base/Timer.h"
#include "keys/ControlNode.h"

namespace rr {

namespace {

constexpr std::chrono::milliseconds CheckPeriod{250};
constexpr std::chrono::seconds UseTime{60};
// Up to this number of members everybody is linked with everybody, which
// saves the time to open a link when a request is forwarded.
constexpr std::size_t FullMeshMembers = 32;

} // namespace

LinkKeeper::LinkKeeper(ControlNode &Control, const PeerNetwork &Network,
                       const std::vector<PeerSeed> &Seeds)
    : Control(Control), Network(Network) {
  for (const PeerSeed &Seed : Seeds)
    this->Seeds[Seed.Name] = Seed.Address;
}

void LinkKeeper::open(const std::string &Peer) {
  const MemberEntry *Entry = this->Control.members().find(Peer);
  const auto Seed = this->Seeds.find(Peer);
  if (!Entry && Seed == this->Seeds.end())
    return;
  if (this->Linked.insert(Peer).second)
    this->Network.Connect(Peer,
                          Entry ? Entry->Record.PeerAddress : Seed->second);
}

void LinkKeeper::keep(const std::string &Peer) {
  this->InUse[Peer] = Clock::now() + UseTime;
  this->open(Peer);
}

std::set<std::string> LinkKeeper::wanted(Clock::time_point Now) {
  std::set<std::string> Result;
  MemberTable &Members = this->Control.members();
  PeerExchange &Exchange = this->Control.exchange();
  const auto Counted = Members.counted();
  if (Counted.size() <= FullMeshMembers)
    for (const MemberEntry *Entry : Counted)
      Result.insert(Entry->Record.Name);
  for (const std::string &Peer : Exchange.heartbeatTargets(Now))
    Result.insert(Peer);
  for (const std::string &Peer : Exchange.zoneSummaryTargets(Now))
    Result.insert(Peer);
  for (const Member &Item : Exchange.membersToProbe(Now))
    Result.insert(Item.Name);
  for (const auto &[Peer, Until] : this->InUse)
    if (Now < Until)
      Result.insert(Peer);
  if (!this->Control.isSynchronised())
    for (const auto &[Name, Address] : this->Seeds)
      Result.insert(Name);
  Result.erase(Members.self().Name);
  return Result;
}

asio::awaitable<void> LinkKeeper::run() {
  while (!this->Stopping) {
    const Clock::time_point Now = Clock::now();
    const std::set<std::string> Wanted = this->wanted(Now);
    for (const std::string &Peer : Wanted)
      this->open(Peer);
    std::erase_if(this->Linked, [&](const std::string &Peer) {
      if (Wanted.count(Peer))
        return false;
      this->Network.Disconnect(Peer);
      return true;
    });
    std::erase_if(this->InUse,
                  [&](const auto &Item) { return Item.second <= Now; });
    co_await sleepFor(CheckPeriod);
  }
}

} // namespace rr
