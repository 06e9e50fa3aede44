#ifndef REDWINGRACK_MODEL_FLEETCONFIG_H
#define REDWINGRACK_MODEL_FLEETCONFIG_H

#include "model/BackendServer.h"
#include "model/ClientBlock.h"
#include "model/Link.h"
#include "model/Route.h"
#include "model/Site.h"
#include "model/TrafficShift.h"
#include "model/VersionSplit.h"
#include "model/Workspace.h"
#include "model/Zone.h"

#include <cstdint>
#include <vector>

namespace rr {

/// The versioned configuration of the fleet. API keys are stored separately.
struct FleetConfig {
  std::uint64_t Version = 0;
  std::vector<Zone> Zones;
  std::vector<Link> Links;
  std::vector<Site> Sites;
  std::vector<ClientBlock> Blocks;
  std::vector<Workspace> Workspaces;
  std::vector<Route> Routes;
  std::vector<BackendServer> Servers;
  std::vector<VersionSplit> Splits;
  std::vector<TrafficShift> Shifts;
};

/// The find functions return null if there is no match. Names are unique; for a
/// service the first split counts.
const Workspace *findWorkspace(const FleetConfig &Config,
                               const std::string &Name);
const Zone *findZone(const FleetConfig &Config, const std::string &Name);
const VersionSplit *findSplit(const FleetConfig &Config,
                              const std::string &Service);
BackendServer *findServer(FleetConfig &Config, const std::string &Name);
const BackendServer *findServer(const FleetConfig &Config,
                                const std::string &Name);
/// Returns the route with the longest path prefix that matches \p Path and
/// allows \p Method; null if there is none. \p Path must not contain a query
/// string.
const Route *findRoute(const FleetConfig &Config, const std::string &Method,
                       const std::string &Path);
/// Region of an availability zone; empty if the zone is unknown.
std::string regionOfZone(const FleetConfig &Config, const std::string &Zone);

} // namespace rr

#endif // REDWINGRACK_MODEL_FLEETCONFIG_H
