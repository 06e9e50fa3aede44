#ifndef REDWINGRACK_ROUTING_ROUTER_H
#define REDWINGRACK_ROUTING_ROUTER_H

#include "base/Random.h"
#include "routing/Overflow.h"
#include "routing/PeerLoads.h"
#include "routing/RouteDecision.h"
#include "routing/RouteRequest.h"
#include "routing/ServerTable.h"
#include "routing/ShiftMeter.h"
#include "routing/SpillCredits.h"
#include "routing/SpillTarget.h"
#include "routing/VersionChooser.h"

#include <vector>

namespace rr {

struct FleetConfig;
class OwnerTable;

/// The routing state of one instance and its decisions: own servers first,
/// then other owners of the region, then other regions as far as credit goes,
/// then the queue.
class Router {
public:
  Router(std::string Self, std::string Zone, std::string Region);

  /// Takes over a configuration and the ownership of servers. \p Deciders is
  /// the number of live instances of the region. \p StartWarm: servers that
  /// are new to this instance start with all slots.
  void configure(const FleetConfig &Config, const OwnerTable &Owners,
                 std::uint32_t Deciders, bool StartWarm, Clock::time_point Now);
  /// Takes over ownership only; cheap enough to call ten times a second while
  /// a hand-over waits.
  void updateOwnership(const OwnerTable &Owners, Clock::time_point Now);

  RouteDecision decide(const RouteRequest &Request, RandomEngine &Random,
                       Clock::time_point Now);

  /// Overflow since the last call.
  std::vector<Overflow> takeOverflow();

  ServerTable &servers() { return this->Servers; }
  PeerLoads &peers() { return this->Peers; }
  SpillCredits &credits() { return this->Credits; }
  VersionChooser &versions() { return this->Versions; }

private:
  /// A traffic shift of the configuration that starts in this region.
  struct ActiveShift {
    std::string Workspace;
    std::string ToRegion;
    ShiftMeter Meter;
  };

  void configureShifts(const FleetConfig &Config);
  void configureTargets(const FleetConfig &Config);
  bool shiftAway(const RouteRequest &Request, RouteDecision &Decision,
                 Clock::time_point Now);
  bool place(const RouteRequest &Request, std::string_view Version,
             RouteDecision &Decision, RandomEngine &Random,
             Clock::time_point Now);
  bool placeSuspect(const RouteRequest &Request, std::string_view Version,
                    RouteDecision &Decision, RandomEngine &Random,
                    Clock::time_point Now);
  bool takesSpilled(const RouteRequest &Request, std::string_view Version,
                    Clock::time_point Now) const;
  bool spill(const RouteRequest &Request, Clock::duration Wait,
             RouteDecision &Decision, Clock::time_point Now);
  Clock::duration estimateWait(const RouteRequest &Request,
                               std::string_view Version,
                               Clock::time_point Now) const;
  void noteOverflow(const RouteRequest &Request);

  std::string Region;
  ServerTable Servers;
  PeerLoads Peers;
  SpillCredits Credits;
  VersionChooser Versions;
  std::vector<ActiveShift> Shifts;
  std::vector<SpillTarget> Targets;
  std::vector<Overflow> Overflows;
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_ROUTER_H
