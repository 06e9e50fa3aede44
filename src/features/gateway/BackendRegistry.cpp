#include "gateway/BackendRegistry.h"

#include "http1/Endpoint.h"
#include "logging/EventLog.h"

namespace rr {

BackendRegistry::BackendRegistry(SteeringState &SharedState,
                                 const PlatformCodec &Platform)
    : State(SharedState), Codec(Platform) {}

void BackendRegistry::applySnapshot(const TableRows &Rows, bool StoreRecovering,
                                    Clock::time_point Now) {
  std::set<std::string> Present;
  for (const TableRow &Row : Rows.Rows)
    Present.insert(Row.Key);
  for (const std::string &Id : this->State.Backends.ids())
    if (!Present.count(Id))
      this->remove(Id, StoreRecovering);
  this->applyChanges(Rows, StoreRecovering, Now);
  this->State.BackendsKnown = true;
}

void BackendRegistry::applyChanges(const TableRows &Rows, bool StoreRecovering,
                                   Clock::time_point Now) {
  for (const TableRow &Row : Rows.Rows)
    this->apply(Row, StoreRecovering, Now);
}

void BackendRegistry::apply(const TableRow &Row, bool StoreRecovering,
                            Clock::time_point Now) {
  if (Row.Deleted) {
    this->IgnoredKeys.erase(Row.Key);
    this->remove(Row.Key, StoreRecovering);
    return;
  }
  const auto Record = this->Codec.DecodeBackend(Row);
  // A server that cannot be reached would be chosen like one that is idle.
  if (!Record || !parseEndpoint(Record->Address)) {
    if (this->IgnoredKeys.insert(Row.Key).second)
      logEvent(Event::BackendEntryIgnored, {{"key", Row.Key}});
    this->remove(Row.Key, false);
    return;
  }
  this->MissingIds.erase(Row.Key);
  const BackendPtr Before = this->State.Backends.find(Row.Key);
  const bool WasDraining = Before && Before->Record.Draining;
  const BackendPtr Replaced = this->State.Backends.apply(*Record, Now);
  if (Replaced || (Record->Draining && !WasDraining))
    this->State.LastServerLoss = Now;
  if (Replaced && this->ServerRemoved)
    this->ServerRemoved(Replaced->Record.Address);
  if (!Before || Replaced)
    logEvent(Event::BackendSeen, {{"server", Record->Id},
                                  {"service", Record->Service},
                                  {"version", Record->Version},
                                  {"zone", Record->Zone},
                                  {"address", Record->Address}});
  if (Record->Draining && !WasDraining)
    logEvent(Event::BackendDraining, {{"server", Record->Id}});
}

void BackendRegistry::remove(const std::string &Id, bool StoreRecovering) {
  if (!this->State.Backends.find(Id))
    return;
  if (StoreRecovering) {
    this->MissingIds.insert(Id);
    return;
  }
  this->MissingIds.erase(Id);
  const BackendPtr Removed = this->State.Backends.remove(Id);
  this->State.LastServerLoss = Clock::now();
  logEvent(Event::BackendGone, {{"server", Id}});
  if (this->ServerRemoved)
    this->ServerRemoved(Removed->Record.Address);
}

void BackendRegistry::removeMissing(bool StoreRecovering) {
  if (StoreRecovering)
    return;
  const std::set<std::string> Gone = std::exchange(this->MissingIds, {});
  for (const std::string &Id : Gone)
    this->remove(Id, false);
}

} // namespace rr
