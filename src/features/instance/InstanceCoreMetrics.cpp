#include "instance/InstanceCore.h"

#include "logging/EventLog.h"
#include "model/FleetConfig.h"
#include "telemetry/Metrics.h"
#include "telemetry/SpanExporter.h"

namespace rr {

void InstanceCore::noteEjections() {
  if (!this->State.Routing.Routes)
    return;
  std::set<std::string> Now;
  for (const ServerPtr &Item : this->State.Routing.Routes->servers().all())
    if (Item->Owned && Item->Health.health() == Ejection::Health::Ejected)
      Now.insert(Item->Config.Name);
  for (const std::string &Name : Now)
    if (!this->Ejected.contains(Name))
      logEvent(Event::ServerEjected, {{"server", Name}});
  for (const std::string &Name : this->Ejected) {
    const ServerPtr Server = this->State.Routing.Routes->servers().find(Name);
    // A server that went to another owner has not returned.
    if (!Now.contains(Name) && Server && Server->Owned)
      logEvent(Event::ServerReturned, {{"server", Name}});
  }
  this->Ejected = std::move(Now);
}

void InstanceCore::updateMetrics(Clock::time_point Now) {
  const auto Set = [&](Metric Which, double Value) {
    this->Counters.set(Which, {}, Value);
  };
  Set(Metric::ConfigurationVersion,
      static_cast<double>(this->State.Control.config().version()));
  Set(Metric::KeySetVersion,
      static_cast<double>(this->State.Control.keys().version()));
  Set(Metric::Fresh, this->WasFresh ? 1 : 0);
  Set(Metric::Running, static_cast<double>(this->Running));
  std::map<MemberState, int> Members;
  for (const auto &[Name, Entry] : this->State.Control.members().entries())
    ++Members[Entry.Record.State];
  for (const MemberState State :
       {MemberState::Live, MemberState::Leaving, MemberState::Left,
        MemberState::Ended, MemberState::Lost})
    this->Counters.set(Metric::Members, {{"state", nameOf(State)}},
                       Members[State]);
  if (const auto Config = configOf(this->State))
    for (const Workspace &Item : Config->Workspaces)
      this->Counters.set(
          Metric::ShareRate, {{"workspace", Item.Name}},
          toRequests(this->State.Shares.held(Item.Name, Now).Rate));
  if (this->Spans && this->Spans->dropped() != this->SpansDropped) {
    const std::uint64_t Dropped = this->Spans->dropped();
    this->Counters.add(Metric::SpansDropped, {},
                       static_cast<double>(Dropped - this->SpansDropped));
    this->SpansDropped = Dropped;
  }
}

} // namespace rr
