#include "gateway/SoakFleet.h"

namespace rr {

std::optional<std::string> SoakFleet::wantedRow(const std::string &Table,
                                                const std::string &Key) const {
  if (Table == "backends") {
    const auto Found = this->Servers.find(Key);
    if (Found == this->Servers.end())
      return std::nullopt;
    const Server &Item = Found->second;
    return Item.Address + " " + Item.Zone +
           (Item.Drain ? " draining" : " ready");
  }
  if (Key == "config")
    return std::to_string(this->ConfigVersion);
  if (this->Evacuated.contains(Key))
    return "";
  return std::nullopt;
}

void SoakFleet::putServer(const std::string &Id) {
  this->Tables.put("backends", Id, *this->wantedRow("backends", Id));
  this->onNoticeWritten(Id);
}

void SoakFleet::configure() {
  const std::uint64_t Version = ++this->ConfigVersion;
  this->Configs[Version] =
      withVersionRoutes(*testConfiguration(Version, this->Keys, Rate, Burst));
  this->Tables.put("orders", "config", std::to_string(Version));
  this->ConfigAcknowledged[Version] = Clock::now();
  this->onConfigurationWritten();
}

void SoakFleet::onConfigurationWritten() {
  for (auto &[Version, AcknowledgedAt] : this->ConfigAcknowledged)
    if (AcknowledgedAt == Clock::time_point::max())
      AcknowledgedAt = Clock::now();
  for (auto &[Key, Notice] : this->Withdrawn)
    if (Notice.Lost) {
      Notice.Lost = false;
      Notice.LastAt = Clock::now();
    }
}

void SoakFleet::onNoticeWritten(const std::string &Key) {
  const auto Acknowledge = [](SoakNotice &Notice) {
    if (Notice.Lost)
      Notice.LastAt = Clock::now();
    Notice.Lost = false;
  };
  for (std::map<std::string, Server> *Group :
       {&this->Servers, &this->GoneServers})
    if (const auto Found = Group->find(Key);
        Found != Group->end() && Found->second.Drain)
      Acknowledge(*Found->second.Drain);
  if (const auto Found = this->Evacuated.find(Key);
      Found != this->Evacuated.end())
    Acknowledge(Found->second);
}

bool SoakFleet::changeKey() {
  const std::string Key = "k" + std::to_string(this->pickIndex(3));
  const bool Withdraws = this->Keys.erase(Key) > 0;
  if (Withdraws) {
    this->logFault("key " + Key + " is withdrawn");
    this->Withdrawn[Key] = SoakNotice{
        this->ConfigVersion + 1, Clock::now(), Clock::now(), false, {}};
  } else {
    this->logFault("key " + Key + " is added");
    this->Keys.insert(Key);
    this->Withdrawn.erase(Key);
  }
  this->configure();
  return Withdraws;
}

void SoakFleet::changeEvacuation() {
  const std::string &Zone = Zones[this->pickIndex(Zones.size())];
  if (this->Evacuated.erase(Zone)) {
    this->logFault("evacuation of zone " + Zone + " ends");
    this->Tables.erase("orders", Zone);
  } else if (this->Evacuated.empty()) {
    this->logFault("zone " + Zone + " is evacuated");
    this->Evacuated[Zone] =
        SoakNotice{0, Clock::now(), Clock::now(), false, {}};
    this->Tables.put("orders", Zone, "");
  }
}

} // namespace rr
