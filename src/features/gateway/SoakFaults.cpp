#include "gateway/SoakFleet.h"

namespace rr {

void SoakFleet::killNode(Node &Item, Clock::duration Down) {
  Item.Instance.reset();
  Item.Context.reset();
  Item.StartAt = Clock::now() + Down;
  this->disturb(Down);
}

void SoakFleet::endNodes() {
  for (const auto &Item : this->Nodes) {
    // A stop ends in a handler of the instance, which must return first.
    if (Item->Stopping && Item->Instance && Clock::now() >= Item->StartAt)
      this->killNode(*Item, Clock::duration::zero());
    if (!Item->Instance && Clock::now() >= Item->StartAt)
      this->startNode(*Item);
  }
}

void SoakFleet::maintainServers() {
  const Clock::time_point Now = Clock::now();
  std::vector<std::string> Gone;
  for (auto &[Id, Item] : this->Servers)
    if (Item.EndsAt != Clock::time_point{} && Now >= Item.EndsAt)
      Gone.push_back(Id);
  for (const std::string &Id : Gone) {
    Server &Item = this->Servers.at(Id);
    this->Tables.erase("backends", Id);
    const std::string Zone = Item.Zone;
    this->Ended.push_back(std::move(Item.Http));
    if (this->Ended.back())
      this->Ended.back()->stopAccepting();
    this->Servers.erase(Id);
    this->addServer(Zone);
  }
}

void SoakFleet::cutOff(Node &Item, Clock::duration Time) {
  this->note(Item.Name + " is cut off from the store");
  Item.CutUntil = Clock::now() + Time;
  this->disturb(Time);
}

void SoakFleet::breakSomething() {
  Node &Some = *this->Nodes[this->pick(this->Nodes.size())];
  const Clock::time_point Now = Clock::now();
  const Clock::duration Time = this->between(std::chrono::milliseconds(1000),
                                             std::chrono::milliseconds(6000));
  switch (this->pick(12)) {
  case 0:
    this->note("the store is away");
    this->StoreDownUntil = Now + Time;
    this->disturb(Time);
    break;
  case 1:
    this->cutOff(Some, Time);
    break;
  case 2:
    this->note("answers to writes are lost");
    this->AnswersLostUntil = Now + Time;
    this->disturb(Time);
    break;
  case 3:
    this->note(Some.Name + " is killed");
    this->killNode(Some, this->between(std::chrono::milliseconds(100),
                                       std::chrono::milliseconds(3000)));
    break;
  case 4:
    this->note(Some.Name + " stands still");
    Some.FrozenUntil = Now + Time;
    this->disturb(Time);
    break;
  case 5:
    this->note("all instances are killed");
    for (const auto &Item : this->Nodes)
      this->killNode(*Item, this->between(std::chrono::milliseconds(100),
                                          std::chrono::milliseconds(2000)));
    break;
  case 6: {
    const auto Chosen =
        std::next(this->Servers.begin(),
                  std::ptrdiff_t(this->pick(this->Servers.size())));
    this->note("server " + Chosen->first + " crashes");
    Chosen->second.Crashed = true;
    this->Ended.push_back(std::move(Chosen->second.Http));
    this->Ended.pop_back();
    Chosen->second.EndsAt = Now + std::chrono::seconds(3);
    break;
  }
  case 7: {
    const auto Chosen =
        std::next(this->Servers.begin(),
                  std::ptrdiff_t(this->pick(this->Servers.size())));
    if (Chosen->second.EndsAt != Clock::time_point{})
      break;
    this->note("server " + Chosen->first + " drains");
    Chosen->second.DrainingSince = Now;
    Chosen->second.EndsAt = Now + std::chrono::seconds(5);
    this->putServer(Chosen->first);
    break;
  }
  case 8: {
    const std::string Key = "k" + std::to_string(this->pick(3));
    if (this->Keys.erase(Key)) {
      this->note("key " + Key + " is withdrawn");
      this->Withdrawn[Key] = Now;
      // Those that cannot learn of it must stop in time.
      for (int Cut = 0; Cut < 2; ++Cut)
        this->cutOff(*this->Nodes[this->pick(this->Nodes.size())],
                     this->between(std::chrono::milliseconds(5000),
                                   std::chrono::milliseconds(9000)));
    } else {
      this->note("key " + Key + " is added");
      this->Keys.insert(Key);
      this->Withdrawn.erase(Key);
    }
    this->configure();
    break;
  }
  case 9: {
    const std::string &Zone = Zones[this->pick(Zones.size())];
    if (this->Evacuated.erase(Zone)) {
      this->note("zone " + Zone + " is taken back");
      this->Tables.erase("orders", Zone);
    } else if (this->Evacuated.empty()) {
      this->note("zone " + Zone + " is evacuated");
      this->Evacuated[Zone] = Now;
      this->Tables.put("orders", Zone, "");
    }
    break;
  }
  case 10:
    this->note("the store forgets its history");
    this->Tables.dropHistory();
    break;
  default:
    if (!Some.Instance || Some.Stopping || Now < Some.FrozenUntil)
      break;
    this->note(Some.Name + " is stopped");
    Some.Stopping = true;
    // It is gone when the time for the stop is over.
    Some.StartAt = Now + std::chrono::seconds(6);
    Some.Instance->beginStop([] {});
    this->disturb(std::chrono::seconds(6));
    break;
  }
}

} // namespace rr
