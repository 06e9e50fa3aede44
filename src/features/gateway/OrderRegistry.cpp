#include "gateway/OrderRegistry.h"

#include "logging/EventLog.h"

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
  const std::map<std::string, std::string> Before = this->Evacuations;
  for (const auto &[Key, Zone] : Before) {
    const bool Present = std::any_of(
        Rows.Rows.begin(), Rows.Rows.end(),
        [&](const TableRow &Row) { return Row.Key == Key && !Row.Deleted; });
    if (!Present)
      this->endEvacuation(Key);
  }
  this->applyChanges(Rows);
}

void OrderRegistry::applyChanges(const TableRows &Rows) {
  for (const TableRow &Row : Rows.Rows)
    this->apply(Row);
}

void OrderRegistry::confirmReadUntil(Clock::time_point AsOf) {
  this->State.OrdersReadAt = std::max(this->State.OrdersReadAt, AsOf);
  this->State.KeysValidUntil = std::max(
      this->State.KeysValidUntil,
      AsOf + this->State.Settings.Bounds.RevocationTime - RevocationMargin);
}

void OrderRegistry::apply(const TableRow &Row) {
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
          std::get_if<std::shared_ptr<const SteeringConfig>>(&*Order))
    this->adoptConfiguration(std::move(*Config));
  else if (const auto *Move = std::get_if<VersionOrder>(&*Order))
    this->State.Versions[Move->Service].setOrder(
        *Move, this->State.Backends.versions(Move->Service));
  else if (const auto *Evacuation = std::get_if<EvacuationOrder>(&*Order)) {
    this->Evacuations[Row.Key] = Evacuation->Zone;
    this->State.LastServerLoss = Clock::now();
    if (this->State.EvacuatedZones.insert(Evacuation->Zone).second)
      logEvent(Event::ZoneEvacuated, {{"zone", Evacuation->Zone}});
  }
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
  this->State.EvacuatedZones.erase(Zone);
  this->State.LastServerLoss = Clock::now();
  // The zone's servers may have been restarted during the evacuation, and have
  // cold caches then.
  this->State.Backends.markMaybeCold(Zone);
  logEvent(Event::ZoneReturned, {{"zone", Zone}});
}

} // namespace rr
