#ifndef REDWINGRACK_INSTANCE_LINKKEEPER_H
#define REDWINGRACK_INSTANCE_LINKKEEPER_H

#include "instance/PeerNetwork.h"
#include "settings/PeerSeed.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace rr {

class ControlNode;

/// Opens the links that this instance needs and closes the others.
class LinkKeeper {
public:
  /// Links to \p Seeds stay up until the control state is synchronised.
  LinkKeeper(ControlNode &Control, const PeerNetwork &Network,
             const std::vector<PeerSeed> &Seeds);

  asio::awaitable<void> run();
  void stop() { this->Stopping = true; }
  /// Keeps a link to a peer for a while after a request went there.
  void keep(const std::string &Peer);

private:
  /// Opens a link unless there is one or the address is not known.
  void open(const std::string &Peer);
  std::set<std::string> wanted(Clock::time_point Now);

  ControlNode &Control;
  const PeerNetwork &Network;
  /// Addresses by name.
  std::map<std::string, std::string> Seeds;
  std::set<std::string> Linked;
  /// Links that requests use, with the time at which they may be closed.
  std::map<std::string, Clock::time_point> InUse;
  bool Stopping = false;
};

} // namespace rr

#endif // REDWINGRACK_INSTANCE_LINKKEEPER_H
