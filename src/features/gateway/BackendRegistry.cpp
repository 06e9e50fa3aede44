#include "gateway/BackendRegistry.h"

#include "logging/EventLog.h"

namespace rr {

BackendRegistry::BackendRegistry(SteeringState &Known,
                                 const PlatformCodec &Names)
    : State(Known), Codec(Names) {}

void BackendRegistry::applySnapshot(const TableRows &Rows, bool Settling,
                                    Clock::time_point Now) {
  std::set<std::string> Present;
  for (const TableRow &Row : Rows.Rows)
    Present.insert(Row.Key);
  for (const std::string &Id : this->State.Backends.ids())
    if (!Present.count(Id))
      this->remove(Id, Settling);
  this->applyChanges(Rows, Settling, Now);
  this->State.BackendsKnown = true;
}

void BackendRegistry::applyChanges(const TableRows &Rows, bool Settling,
                                   Clock::time_point Now) {
  this->State.BackendsReadAt = Now;
  for (const TableRow &Row : Rows.Rows)
    this->apply(Row, Settling, Now);
}

void BackendRegistry::apply(const TableRow &Row, bool Settling,
                            Clock::time_point Now) {
  if (Row.Deleted) {
    this->Ignored.erase(Row.Key);
    this->remove(Row.Key, Settling);
    return;
  }
  const auto Record = this->Codec.DecodeBackend(Row);
  if (!Record) {
    if (this->Ignored.insert(Row.Key).second)
      logEvent(Event::BackendEntryIgnored, {{"key", Row.Key}});
    this->remove(Row.Key, false);
    return;
  }
  this->Missing.erase(Row.Key);
  const BackendPtr Before = this->State.Backends.find(Row.Key);
  const bool WasDraining = Before && Before->Record.Draining;
  const BackendPtr Replaced = this->State.Backends.apply(*Record, Now);
  if (Replaced || (Record->Draining && !WasDraining))
    this->State.LastLoss = Now;
  if (Replaced && this->Left)
    this->Left(Replaced->Record.Address);
  if (!Before || Replaced)
    logEvent(Event::BackendSeen, {{"server", Record->Id},
                                  {"service", Record->Service},
                                  {"version", Record->Version},
                                  {"zone", Record->Zone},
                                  {"address", Record->Address}});
  if (Record->Draining && !WasDraining)
    logEvent(Event::BackendDraining, {{"server", Record->Id}});
}

void BackendRegistry::remove(const std::string &Id, bool Settling) {
  if (!this->State.Backends.find(Id))
    return;
  if (Settling) {
    this->Missing.insert(Id);
    return;
  }
  this->Missing.erase(Id);
  const BackendPtr Removed = this->State.Backends.remove(Id);
  this->State.LastLoss = Clock::now();
  logEvent(Event::BackendGone, {{"server", Id}});
  if (this->Left)
    this->Left(Removed->Record.Address);
}

void BackendRegistry::settle(bool Settling) {
  if (Settling)
    return;
  const std::set<std::string> Gone = std::exchange(this->Missing, {});
  for (const std::string &Id : Gone)
    this->remove(Id, false);
}

} // namespace rr
