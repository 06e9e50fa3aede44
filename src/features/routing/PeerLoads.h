#ifndef REDWINGRACK_ROUTING_PEERLOADS_H
#define REDWINGRACK_ROUTING_PEERLOADS_H

#include "base/Random.h"
#include "routing/ForwardLease.h"

#include <string_view>
#include <vector>

namespace rr {

struct FleetConfig;
class OwnerTable;

/// The other owners of the region, by service and version.
class PeerLoads {
public:
  PeerLoads(std::string Self, std::string Zone, std::string Region)
      : Self(std::move(Self)), Zone(std::move(Zone)),
        Region(std::move(Region)) {}

  /// Takes over which instance owns which servers. \p Owners must have been
  /// updated with the same configuration. \p Deciders is the number
  /// of instances of the region that forward requests, this one included.
  void configure(const FleetConfig &Config, const OwnerTable &Owners,
                 std::uint32_t Deciders);
  /// Takes a report that was made \p Age ago.
  void report(std::string_view Instance, const ServiceHeadroom &Headroom,
              Clock::duration Age, Clock::time_point Now);

  /// Of two random owners, the one that seems less loaded; owners in the own
  /// zone come first. An empty lease when there is none. The owner decides
  /// itself whether it has a free slot.
  ForwardLease choose(std::string_view Service, std::string_view Version,
                      RandomEngine &Random, Clock::time_point Now) const;

  /// Slots of the version at other owners of the region.
  std::uint32_t slots(std::string_view Service, std::string_view Version) const;
  std::uint32_t deciders() const { return this->Deciders; }

private:
  using PeerPtr = std::shared_ptr<PeerLoad>;
  /// Owners of the servers of one version.
  struct PeerGroup {
    std::string Service;
    std::string Version;
    std::vector<PeerPtr> SameZone;
    std::vector<PeerPtr> OtherZones;
  };

  const PeerGroup *group(std::string_view Service,
                         std::string_view Version) const;
  PeerPtr findPeer(const PeerGroup &Group, std::string_view Instance) const;
  PeerPtr pick(const std::vector<PeerPtr> &Peers, RandomEngine &Random,
               Clock::time_point Now) const;
  bool isUsable(const PeerLoad &Peer, Clock::time_point Now) const;

  std::string Self;
  std::string Zone;
  std::string Region;
  std::uint32_t Deciders = 1;
  std::vector<PeerGroup> Groups;
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_PEERLOADS_H
