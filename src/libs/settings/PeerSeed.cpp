#include "settings/PeerSeed.h"

#include "settings/SocketAddress.h"

namespace rr {

bool parsePeerSeed(const std::string &Text, PeerSeed &Seed) {
  const auto At = Text.find('@');
  SocketAddress Address;
  if (At == std::string::npos || At == 0 ||
      !parseAddress(Text.substr(At + 1), Address))
    return false;
  Seed = {Text.substr(0, At), Text.substr(At + 1)};
  return true;
}

} // namespace rr
