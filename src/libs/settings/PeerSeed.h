#ifndef REDWINGRACK_SETTINGS_PEERSEED_H
#define REDWINGRACK_SETTINGS_PEERSEED_H

#include <string>

namespace rr {

/// Instance that is asked for the control state at the start.
struct PeerSeed {
  std::string Name;
  /// Peer address as IP:PORT.
  std::string Address;
};

/// Reads NAME@IP:PORT; returns whether \p Text has that form.
bool parsePeerSeed(const std::string &Text, PeerSeed &Seed);

} // namespace rr

#endif // REDWINGRACK_SETTINGS_PEERSEED_H
