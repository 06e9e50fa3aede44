#ifndef REDWINGRACK_STEERING_STEERINGCONFIG_H
#define REDWINGRACK_STEERING_STEERINGCONFIG_H

#include "steering/ClientLimits.h"
#include "steering/SteeringRoute.h"
#include "steering/SteeringService.h"
#include "steering/SteeringWorkspace.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rr {

/// A configuration of routes, services and workspaces. Immutable once in force;
/// each request keeps the configuration it started with.
struct SteeringConfig {
  std::uint64_t Version = 0;
  ClientLimits Limits;
  /// By host in lower case; longest prefix first.
  std::unordered_map<std::string, std::vector<SteeringRoute>> RoutesByHost;
  std::map<std::string, SteeringService> Services;
  std::vector<SteeringWorkspace> Workspaces;
  /// Routes require a key unless they allow anonymous requests.
  bool NeedsKeys = false;
  /// Index into Workspaces by key.
  std::unordered_map<std::string, std::size_t> WorkspaceByKey;
};

/// The route with the longest prefix of \p Path; null when there is none.
const SteeringRoute *findRoute(const SteeringConfig &Config,
                               std::string_view Host, std::string_view Path);

/// The workspace that holds the key; null when there is none.
const SteeringWorkspace *findWorkspace(const SteeringConfig &Config,
                                       const std::string &Key);

} // namespace rr

#endif // REDWINGRACK_STEERING_STEERINGCONFIG_H
