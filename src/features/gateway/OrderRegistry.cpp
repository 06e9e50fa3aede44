#include "gateway/OrderRegistry.h"

#include "gateway/GatewayAttempt.h"
#include "logging/EventLog.h"
#include "tables/BootTime.h"

#include <algorithm>

namespace rr {

namespace {

/// Subtracted from the revocation time. Covers the time from the last check of
/// KeysValidUntil until the request arrives at the server.
constexpr Clock::duration RevocationMargin = std::chrono::milliseconds(400);

} // namespace

OrderRegistry::OrderRegistry(SteeringState &SharedState,
                             const PlatformCodec &Platform)
    : State(SharedState), Codec(Platform) {}

void OrderRegistry::applySnapshot(const TableRows &Rows) {
  const bool NewEra = this->Restored.recordWholeRead(Rows, bootTime());
  if (NewEra)
    this->ConfigurationWritten = false;
  const std::map<std::string, std::string> Before = this->Evacuations;
  for (const auto &[Key, Zone] : Before) {
    const bool Present = std::any_of(
        Rows.Rows.begin(), Rows.Rows.end(),
        [&](const TableRow &Row) { return Row.Key == Key && !Row.Deleted; });
    if (Present)
      continue;
    if (!this->Restored.isRewriting()) {
      this->endEvacuation(Key);
      continue;
    }
    this->MissingEvacuations.insert(Key);
    if (NewEra)
      this->logHeld(Event::RestoredOrderMissing, Key, "evacuation");
  }
  // A row that a whole read has may be unchanged, and proves no write.
  const bool Written = this->ConfigurationWritten;
  for (const TableRow &Row : Rows.Rows)
    this->apply(Row, NewEra);
  this->ConfigurationWritten = Written;
}

void OrderRegistry::applyChanges(const TableRows &Rows) {
  for (const TableRow &Row : Rows.Rows)
    this->apply(Row, false);
}

void OrderRegistry::confirmReadUntil(Clock::time_point AsOf) {
  this->Restored.confirm(AsOf);
  const bool Rewriting = this->Restored.isRewriting();
  if (!Rewriting) {
    const std::set<std::string> Ended =
        std::exchange(this->MissingEvacuations, {});
    for (const std::string &Key : Ended)
      this->endEvacuation(Key);
    for (const TableRow &Row : this->Restored.held()) {
      this->Restored.release(Row.Key);
      this->apply(Row, false);
    }
  }
  // The copy may lack the configuration that withdrew a key. The operator
  // writes no other one than the newest.
  if (Rewriting && !this->ConfigurationWritten)
    return;
  this->State.OrdersReadAt = std::max(this->State.OrdersReadAt, AsOf);
  this->State.KeysValidUntil = std::max(
      this->State.KeysValidUntil,
      AsOf + this->State.Settings.Bounds.RevocationTime - RevocationMargin);
}

void OrderRegistry::apply(const TableRow &Row, bool NewEra) {
  if (this->Restored.isHeld(Row))
    return;
  this->Restored.release(Row.Key);
  if (Row.Deleted) {
    this->endEvacuation(Row.Key);
    return;
  }
  auto Order = this->Codec.DecodeOrder(Row);
  if (!Order) {
    logEvent(Event::OrderIgnored,
             {{"key", Row.Key}, {"error", Order.error().message()}});
    return;
  }
  if (auto *Config =
          std::get_if<std::shared_ptr<const SteeringConfig>>(&*Order)) {
    const auto &Current = this->State.Config;
    if (!Current || (*Config)->Version >= Current->Version)
      this->ConfigurationWritten = true;
    this->adoptConfiguration(std::move(*Config));
  } else if (const auto *Move = std::get_if<VersionOrder>(&*Order))
    this->applyVersionOrder(*Move, Row, NewEra);
  else if (const auto *Evacuation = std::get_if<EvacuationOrder>(&*Order)) {
    this->MissingEvacuations.erase(Row.Key);
    this->Evacuations[Row.Key] = Evacuation->Zone;
    this->State.LastServerLoss = Clock::now();
    if (this->State.EvacuatedZones.insert(Evacuation->Zone).second)
      logEvent(Event::ZoneEvacuated, {{"zone", Evacuation->Zone}});
  }
}

void OrderRegistry::applyVersionOrder(const VersionOrder &Order,
                                      const TableRow &Row, bool NewEra) {
  VersionSteering &Steering = this->State.Versions[Order.Service];
  const auto &Known = Steering.currentOrder();
  if (NewEra && Known && Known->Target != Order.Target &&
      !wasWrittenAfter(Row, this->VersionOrders[Row.Key])) {
    this->Restored.hold(Row);
    this->logHeld(Event::RestoredOrderIgnored, Row.Key, Known->Target);
    return;
  }
  this->VersionOrders[Row.Key] = Row.Version;
  Steering.setOrder(Order, this->State.Backends.versions(Order.Service));
}

void OrderRegistry::adoptConfiguration(
    std::shared_ptr<const SteeringConfig> Config) {
  const auto &Current = this->State.Config;
  if (Current && Current->Version >= Config->Version)
    return;
  logEvent(Event::ConfigurationAdopted,
           {{"version", std::to_string(Config->Version)},
            {"before", Current ? std::to_string(Current->Version) : "none"}});
  this->State.Config = std::move(Config);
  if (this->ConfigurationAdopted)
    this->ConfigurationAdopted(*this->State.Config);
}

void OrderRegistry::endEvacuation(const std::string &Key) {
  const auto Found = this->Evacuations.find(Key);
  if (Found == this->Evacuations.end())
    return;
  const std::string Zone = Found->second;
  this->Evacuations.erase(Found);
  this->MissingEvacuations.erase(Key);
  this->State.EvacuatedZones.erase(Zone);
  this->State.LastServerLoss = Clock::now();
  // The zone's servers may have been restarted during the evacuation, and have
  // cold caches then.
  this->State.Backends.markMaybeCold(Zone);
  logEvent(Event::ZoneReturned, {{"zone", Zone}});
}

void OrderRegistry::logHeld(Event Number, const std::string &Key,
                            const std::string &Known) {
  this->Log.write(Number, Known, [&] {
    return std::vector<EventField>{
        {"key", Key},
        {"known", Known},
        {"read_ms_ago",
         millisecondText(bootTime() - this->State.OrdersReadAt)}};
  });
}

} // namespace rr
