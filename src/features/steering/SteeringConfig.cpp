#include "steering/SteeringConfig.h"

#include <cctype>

namespace rr {

namespace {

/// Lower case, without a port.
std::string normalizedHost(std::string_view Host) {
  std::string Name;
  for (const char Character : Host.substr(0, Host.rfind(':')))
    Name += char(std::tolower(static_cast<unsigned char>(Character)));
  return Name;
}

} // namespace

const SteeringRoute *findRoute(const SteeringConfig &Config,
                               std::string_view Host, std::string_view Path) {
  const auto Found = Config.RoutesByHost.find(normalizedHost(Host));
  if (Found == Config.RoutesByHost.end())
    return nullptr;
  Path = Path.substr(0, Path.find('?'));
  for (const SteeringRoute &Route : Found->second)
    if (Path.substr(0, Route.PathPrefix.size()) == Route.PathPrefix)
      return &Route;
  return nullptr;
}

const SteeringWorkspace *findWorkspace(const SteeringConfig &Config,
                                       const std::string &Key) {
  const auto Found = Config.WorkspaceByKey.find(Key);
  return Found == Config.WorkspaceByKey.end()
             ? nullptr
             : &Config.Workspaces[Found->second];
}

} // namespace rr
