#ifndef REDWINGRACK_ROUTING_SERVERTABLE_H
#define REDWINGRACK_ROUTING_SERVERTABLE_H

#include "routing/ServerChoice.h"
#include "routing/ServiceHeadroom.h"
#include "routing/SlotLease.h"
#include "routing/VersionUse.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace rr {

struct FleetConfig;

/// The backend servers of the region, with exact counts for the owned ones.
class ServerTable {
public:
  /// Takes over the servers of \p Config whose zone is in \p Region. Known
  /// servers keep their counts; a server that comes anew starts slowly unless
  /// \p StartWarm. A server whose version changed has been restarted.
  void configure(const FleetConfig &Config, std::string_view Region,
                 bool StartWarm, Clock::time_point Now);
  /// Says which servers this instance may send to, by name.
  void setOwned(const std::function<bool(const std::string &)> &Owns);

  /// Takes a slot of a healthy server, or of an ejected one for its trial. An
  /// empty lease when no owned server has room.
  SlotLease acquire(std::string_view Service, std::string_view Version,
                    bool MayRetry, RandomEngine &Random, Clock::time_point Now);
  /// As acquire(), of a suspect server. For use when nothing else has room.
  SlotLease acquireSuspect(std::string_view Service, std::string_view Version,
                           RandomEngine &Random, Clock::time_point Now);
  /// Called by SlotLease.
  void release(ServerState &Server, RequestOutcome Outcome, bool Trial,
               std::chrono::nanoseconds Latency, Clock::time_point Now);

  /// Takes a server's own report of its load, 0 to 1.
  void reportLoad(std::string_view Server, double Load, Clock::time_point Now);
  /// Starts a server slowly: it restarted, or its cache is cold.
  void beginSlowStart(std::string_view Server, Clock::time_point Now);
  /// Before a large move of traffic to \p Version: its caches are cold for the
  /// new requests, so slots grow from those that are in use.
  void beginLargeMove(std::string_view Service, std::string_view Version,
                      Clock::time_point Now);
  /// Servers of a service that other owners of the zone have ejected.
  void setEjectedElsewhere(std::string_view Service, std::string_view Zone,
                           std::uint32_t Count);
  std::uint32_t ejectedHere(std::string_view Service,
                            std::string_view Zone) const;

  /// Headroom of the owned servers, for heartbeats.
  std::vector<ServiceHeadroom> headroom(Clock::time_point Now) const;
  /// As use(), up to 10 ms old; for estimates on the request path.
  VersionUse recentUse(std::string_view Service, std::string_view Version,
                       Clock::time_point Now) const;
  VersionUse use(std::string_view Service, std::string_view Version,
                 Clock::time_point Now) const;
  /// Null when the server is unknown.
  ServerPtr find(std::string_view Server) const;
  const std::vector<ServerPtr> &all() const { return this->Servers; }

private:
  /// Servers of one version of one service.
  struct VersionGroup {
    std::string Service;
    std::string Version;
    std::vector<ServerPtr> All;
    std::vector<ServerPtr> Owned;
    mutable VersionUse Recent;
    mutable Clock::time_point RecentUntil{};
    /// No owned server has room until then, unless a slot is released.
    mutable Clock::time_point FullUntil{};
  };

  const VersionGroup *group(std::string_view Service,
                            std::string_view Version) const;
  void regroup();
  SlotLease lease(ServerPtr Server, bool Trial, Clock::time_point Now);
  bool mayEject(const ServerState &Server) const;
  double peerFailureRate(const ServerState &Server) const;

  std::vector<ServerPtr> Servers;
  std::map<std::string, ServerPtr, std::less<>> ByName;
  std::vector<VersionGroup> Groups;
  /// Some server was faulty at some time; saves searches for suspects and
  /// trials.
  bool AnyFaulty = false;
  std::map<std::pair<std::string, std::string>, std::uint32_t> EjectedElsewhere;
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_SERVERTABLE_H
