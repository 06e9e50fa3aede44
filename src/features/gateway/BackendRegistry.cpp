#include "gateway/BackendRegistry.h"

#include "gateway/GatewayAttempt.h"
#include "http1/Endpoint.h"
#include "logging/EventLog.h"
#include "tables/BootTime.h"

namespace rr {

BackendRegistry::BackendRegistry(SteeringState &SharedState,
                                 const PlatformCodec &Platform)
    : State(SharedState), Codec(Platform) {}

void BackendRegistry::applySnapshot(const TableRows &Rows, bool StoreRecovering,
                                    Clock::time_point Now) {
  const bool NewEra = this->Restored.recordWholeRead(Rows, bootTime());
  this->ReadVersion = Rows.Version;
  std::set<std::string> Present;
  for (const TableRow &Row : Rows.Rows)
    Present.insert(Row.Key);
  const bool MayReturn = StoreRecovering || this->Restored.mayHaveLostRows();
  for (const std::string &Id : this->State.Backends.ids()) {
    if (Present.count(Id))
      continue;
    this->remove(Id, MayReturn);
    if (NewEra && MayReturn)
      this->logHeld(Event::RestoredServerRowMissing, Id, "in_use");
  }
  for (const TableRow &Row : Rows.Rows)
    this->apply(Row, NewEra, StoreRecovering, Now);
  this->State.BackendsKnown = true;
}

void BackendRegistry::applyChanges(const TableRows &Rows, bool StoreRecovering,
                                   Clock::time_point Now) {
  this->ReadVersion = Rows.Version;
  for (const TableRow &Row : Rows.Rows)
    this->apply(Row, false, StoreRecovering, Now);
}

void BackendRegistry::apply(const TableRow &Row, bool NewEra,
                            bool StoreRecovering, Clock::time_point Now) {
  if (this->Restored.isHeld(Row))
    return;
  this->Restored.release(Row.Key);
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
  if (NewEra && this->holdBack(Row, *Record))
    return;
  this->Removed.erase(Row.Key);
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

RestoredServer BackendRegistry::compare(const TableRow &Row,
                                        const BackendRecord &Record) const {
  const BackendPtr Known = this->State.Backends.find(Row.Key);
  const auto Gone = this->Removed.find(Row.Key);
  return compareRestored(Row, Record, Known ? &Known->Record : nullptr,
                         Gone == this->Removed.end() ? nullptr : &Gone->second);
}

bool BackendRegistry::holdBack(const TableRow &Row,
                               const BackendRecord &Record) {
  const RestoredServer Relation = this->compare(Row, Record);
  if (Relation == RestoredServer::Current)
    return false;
  this->Restored.hold(Row);
  this->logHeld(Event::RestoredServerRowIgnored, Row.Key, knownText(Relation));
  return true;
}

void BackendRegistry::releaseHeld(Clock::time_point Now) {
  if (!this->Restored.isKnownFor(RemovedServer::SilenceTime))
    return;
  for (const TableRow &Row : this->Restored.held()) {
    const auto Record = this->Codec.DecodeBackend(Row);
    // A run that drains does not become ready again.
    if (Record && this->compare(Row, *Record) == RestoredServer::Drains)
      continue;
    this->Restored.release(Row.Key);
    this->apply(Row, false, false, Now);
  }
}

void BackendRegistry::remove(const std::string &Id, bool Keep) {
  const auto Gone = this->Removed.find(Id);
  if (Gone != this->Removed.end())
    Gone->second.RemovedAt = Clock::now();
  const BackendPtr Known = this->State.Backends.find(Id);
  if (!Known)
    return;
  if (Keep) {
    this->MissingIds.insert(Id);
    return;
  }
  this->MissingIds.erase(Id);
  this->State.Backends.remove(Id);
  this->Removed.insert_or_assign(Id, RemovedServer{Known->Record.StartTimeMs,
                                                   this->ReadVersion,
                                                   Clock::now()});
  this->State.LastServerLoss = Clock::now();
  logEvent(Event::BackendGone, {{"server", Id}});
  if (this->ServerRemoved)
    this->ServerRemoved(Known->Record.Address);
}

void BackendRegistry::removeMissing(bool StoreRecovering) {
  const Clock::time_point Now = Clock::now();
  this->Restored.confirm(this->State.BackendsCurrentUntil);
  std::erase_if(this->Removed, [Now](const auto &Item) {
    return Now - Item.second.RemovedAt >= RemovedServer::Memory;
  });
  this->releaseHeld(Now);
  if (StoreRecovering || this->Restored.mayHaveLostRows())
    return;
  const std::set<std::string> Gone = std::exchange(this->MissingIds, {});
  for (const std::string &Id : Gone)
    this->remove(Id, false);
}

void BackendRegistry::logHeld(Event Number, const std::string &Id,
                              const std::string &Known) {
  this->Log.write(Number, Known, [&] {
    return std::vector<EventField>{
        {"server", Id},
        {"known", Known},
        {"read_ms_ago",
         millisecondText(bootTime() - this->State.BackendsCurrentUntil)}};
  });
}

} // namespace rr
