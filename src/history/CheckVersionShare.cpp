#include "history/Bounds.h"
#include "history/CapCheck.h"
#include "history/Checks.h"

#include <iterator>
#include <optional>

namespace rr::history {

namespace {

/// Service and version.
using VersionName = std::pair<std::string, std::string>;

/// Reports what a version runs after its faults showed or it was taken back. A
/// later stage after the take-back is a new rollout and ends the ban.
std::vector<Violation> checkStopped(const Timeline &Recorded,
                                    const VersionName &Name) {
  const auto IsThis = [&Name](const auto &Item) {
    return Item.Service == Name.first && Item.Version == Name.second;
  };
  std::vector<Violation> Found;
  std::optional<Event> Cause;
  bool TakenBack = false;
  for (const Event &Item : Recorded.events()) {
    if (const auto *Faulty = std::get_if<VersionFaulty>(&Item)) {
      if (!Cause && IsThis(*Faulty))
        Cause = Item;
    } else if (const auto *Back = std::get_if<VersionTakenBack>(&Item)) {
      if (!IsThis(*Back))
        continue;
      TakenBack = true;
      if (!Cause)
        Cause = Item;
    } else if (const auto *Stage = std::get_if<RolloutStage>(&Item)) {
      if (TakenBack && IsThis(*Stage) && Stage->Cap > 0) {
        Cause.reset();
        TakenBack = false;
      }
    } else if (const auto *Began = std::get_if<ServerBegan>(&Item)) {
      if (Cause && IsThis(*Began) && Began->At > timeOf(*Cause) + FaultBound)
        Found.push_back({Promise::VersionShare,
                         Began->At,
                         "nothing for the version after " +
                             describe(timeOf(*Cause) + FaultBound),
                         "a request that began to run",
                         {*Cause, *Began}});
    }
  }
  return Found;
}

} // namespace

std::vector<Violation> checkVersionShare(const Timeline &Recorded) {
  std::map<VersionName, std::vector<const RolloutStage *>> Stages;
  for (const RolloutStage *Stage : Recorded.all<RolloutStage>())
    Stages[{Stage->Service, Stage->Version}].push_back(Stage);
  // A version may turn out bad without a rollout that was recorded.
  for (const VersionFaulty *Item : Recorded.all<VersionFaulty>())
    Stages[{Item->Service, Item->Version}];
  for (const VersionTakenBack *Item : Recorded.all<VersionTakenBack>())
    Stages[{Item->Service, Item->Version}];

  std::vector<Violation> Found;
  for (const auto &[Name, Settings] : Stages) {
    const CapScope Scope{
        Promise::VersionShare,
        [&Name](const CallerSent &Sent) { return Sent.Service == Name.first; },
        [&Name](const ServerBegan &Began) {
          return Began.Service == Name.first && Began.Version == Name.second;
        }};
    std::ranges::move(checkCap(Recorded, Settings, Scope),
                      std::back_inserter(Found));
    std::ranges::move(checkStopped(Recorded, Name), std::back_inserter(Found));
  }
  return Found;
}

} // namespace rr::history
