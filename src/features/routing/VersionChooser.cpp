#include "routing/VersionChooser.h"

#include "model/FleetConfig.h"

namespace rr {

void VersionChooser::configure(const FleetConfig &Config) {
  std::vector<Choice> After;
  const auto Known = [&After](const std::string &Service) {
    for (const Choice &Item : After)
      if (Item.Service == Service)
        return true;
    return false;
  };
  for (const VersionSplit &Split : Config.Splits) {
    Choice Item{Split.Service,
                Split.StableVersion,
                Split.CanaryVersion,
                Split.CanaryShare,
                {}};
    const Choice *Before = this->find(Split.Service);
    if (Before && Before->Canary == Item.Canary)
      Item.Meter = Before->Meter;
    Item.Meter.setFraction(Item.Canary.empty() ? 0 : Item.CanaryShare);
    After.push_back(std::move(Item));
  }
  for (const BackendServer &Server : Config.Servers)
    if (!Known(Server.Service))
      After.push_back({Server.Service, Server.Version, {}, 0, {}});
  this->Choices = std::move(After);
  this->applyStops();
}

void VersionChooser::stopVersion(std::string_view Service,
                                 std::string_view Version) {
  this->Stopped.push_back({std::string(Service), std::string(Version)});
  this->applyStops();
}

void VersionChooser::applyStops() {
  for (const StoppedVersion &Stop : this->Stopped) {
    Choice *Item = this->find(Stop.Service);
    if (!Item || Item->Canary != Stop.Version)
      continue;
    Item->CanaryShare = 0;
    Item->Meter.setFraction(0);
  }
}

VersionChooser::Choice *VersionChooser::find(std::string_view Service) {
  for (Choice &Item : this->Choices)
    if (Item.Service == Service)
      return &Item;
  return nullptr;
}

} // namespace rr
