#ifndef REDWINGRACK_SETTINGS_PEERSEED_H
#define REDWINGRACK_SETTINGS_PEERSEED_H

#include <string>

namespace rr {

/// Instance from which the control state is requested at startup.
struct PeerSeed {
  std::string Name;
  /// Peer address as IP:PORT.
  std::string Address;
};

/// Parses NAME@IP:PORT. Returns false when \p Text does not have that form.
bool parsePeerSeed(const std::string &Text, PeerSeed &Seed);

} // namespace rr

#endif // REDWINGRACK_SETTINGS_PEERSEED_H
