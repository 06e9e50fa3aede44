#include "model/FleetConfig.h"

#include <algorithm>

namespace rr {

namespace {

template <typename Range>
auto findByName(Range &Items, const std::string &Name) {
  const auto Found =
      std::find_if(Items.begin(), Items.end(),
                   [&](const auto &Item) { return Item.Name == Name; });
  return Found == Items.end() ? nullptr : &*Found;
}

bool allowsMethod(const Route &Candidate, const std::string &Method) {
  return std::find(Candidate.Methods.begin(), Candidate.Methods.end(),
                   Method) != Candidate.Methods.end();
}

// Prefixes match whole path segments: /stock does not match /stockroom.
bool matchesPath(const Route &Candidate, const std::string &Path) {
  const std::string &Prefix = Candidate.PathPrefix;
  if (Path.compare(0, Prefix.size(), Prefix) != 0)
    return false;
  return Path.size() == Prefix.size() || Prefix.back() == '/' ||
         Path[Prefix.size()] == '/';
}

} // namespace

const Workspace *findWorkspace(const FleetConfig &Config,
                               const std::string &Name) {
  return findByName(Config.Workspaces, Name);
}

const Zone *findZone(const FleetConfig &Config, const std::string &Name) {
  return findByName(Config.Zones, Name);
}

const VersionSplit *findSplit(const FleetConfig &Config,
                              const std::string &Service) {
  const auto Found = std::find_if(
      Config.Splits.begin(), Config.Splits.end(),
      [&](const VersionSplit &Split) { return Split.Service == Service; });
  return Found == Config.Splits.end() ? nullptr : &*Found;
}

BackendServer *findServer(FleetConfig &Config, const std::string &Name) {
  return findByName(Config.Servers, Name);
}

const BackendServer *findServer(const FleetConfig &Config,
                                const std::string &Name) {
  return findByName(Config.Servers, Name);
}

const Route *findRoute(const FleetConfig &Config, const std::string &Method,
                       const std::string &Path) {
  const Route *Best = nullptr;
  for (const Route &Candidate : Config.Routes) {
    if (!allowsMethod(Candidate, Method) || !matchesPath(Candidate, Path))
      continue;
    if (!Best || Candidate.PathPrefix.size() > Best->PathPrefix.size())
      Best = &Candidate;
  }
  return Best;
}

std::string regionOfZone(const FleetConfig &Config, const std::string &Zone) {
  const auto *Found = findZone(Config, Zone);
  return Found ? Found->Region : std::string();
}

} // namespace rr
