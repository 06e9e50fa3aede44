#ifndef REDWINGRACK_ROUTING_OWNERTABLE_H
#define REDWINGRACK_ROUTING_OWNERTABLE_H

#include "routing/OwnedServer.h"
#include "routing/OwnerMember.h"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rr {

struct FleetConfig;

/// Time after which a silent previous owner has stopped sending: its view is
/// at most 3 s old, and 1 s is left for the message and the timer.
inline constexpr std::chrono::seconds OwnerHandOverWait{4};

/// Which instance owns each backend server. An owner that loses a server stops
/// at once; the new owner starts after the old one acknowledged or after
/// OwnerHandOverWait.
class OwnerTable {
public:
  explicit OwnerTable(std::string Self) : Self(std::move(Self)) {}

  /// Takes over configuration and the live members. With \p MayOwn false this
  /// instance owns nothing: it must be false while the instance cannot know
  /// whether others regard it as live. A table that starts has no knowledge of
  /// earlier owners and waits for every server.
  void update(const FleetConfig &Config,
              const std::vector<OwnerMember> &Members, bool MayOwn,
              Clock::time_point Now);

  /// The previous owner has no request on \p Server any more and will send
  /// none.
  void acknowledge(std::string_view Server, std::string_view Previous);
  /// The process of \p Instance has ended; it acknowledges all its servers.
  void instanceEnded(std::string_view Instance);

  /// Whether this instance may send to \p Server now.
  bool owns(std::string_view Server, Clock::time_point Now) const;
  /// Owner by rendezvous, also while it still waits; empty when unknown.
  std::string_view ownerOf(std::string_view Server) const;
  const std::vector<OwnedServer> &servers() const { return this->Servers; }

private:
  std::string winner(const OwnedServer &Server,
                     const std::vector<OwnerMember> &Members) const;
  const OwnedServer *find(std::string_view Server) const;

  std::string Self;
  bool MayOwn = false;
  std::vector<OwnedServer> Servers;
  std::map<std::string, std::size_t, std::less<>> Positions;
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_OWNERTABLE_H
