#include "history/Bounds.h"
#include "history/Checks.h"

namespace rr::history {

std::vector<Violation> checkConfiguration(const Timeline &Recorded) {
  // Acceptance of each version, and of the highest version up to a time.
  std::map<std::uint64_t, const ConfigAccepted *> Accepted;
  std::map<Clock::time_point, const ConfigAccepted *> Highest;
  for (const ConfigAccepted *Item : Recorded.all<ConfigAccepted>()) {
    Accepted.emplace(Item->Version, Item);
    if (Highest.empty() || Highest.rbegin()->second->Version < Item->Version)
      Highest[Item->At] = Item;
  }

  std::vector<Violation> Found;
  // Last version seen at each instance since its process started.
  std::map<std::string, const ConfigObserved *> Last;
  for (const Event &Item : Recorded.events()) {
    if (const auto *Change = std::get_if<InstanceChange>(&Item)) {
      if (Change->State == InstanceState::Started)
        Last.erase(Change->Instance);
      continue;
    }
    const auto *Seen = std::get_if<ConfigObserved>(&Item);
    if (!Seen)
      continue;
    const auto Report = [&](std::uint64_t Expected, const char *Relation,
                            const Event &Cause) {
      Found.push_back({Promise::Configuration,
                       Seen->At,
                       Relation + std::to_string(Expected),
                       "version " + std::to_string(Seen->Version),
                       {Cause, *Seen}});
    };
    const auto Before = Last.find(Seen->Instance);
    if (Before != Last.end() && Before->second->Version > Seen->Version)
      Report(Before->second->Version, "no version below ", *Before->second);
    Last[Seen->Instance] = Seen;
    if (Seen->Version > 0 && !Accepted.contains(Seen->Version))
      Found.push_back({Promise::Configuration,
                       Seen->At,
                       "an accepted version",
                       "version " + std::to_string(Seen->Version),
                       {*Seen}});
    // The newest version that was accepted at least the bound before.
    const auto After = Highest.lower_bound(Seen->AskedAt - ConfigurationBound);
    if (After == Highest.begin() || !Seen->Serving)
      continue;
    const ConfigAccepted *Newest = std::prev(After)->second;
    if (Seen->Version < Newest->Version)
      Report(Newest->Version, "at least version ", *Newest);
  }
  return Found;
}

} // namespace rr::history
