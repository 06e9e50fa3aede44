#ifndef REDWINGRACK_INSTANCE_INSTANCEOPTIONS_H
#define REDWINGRACK_INSTANCE_INSTANCEOPTIONS_H

#include "base/Clock.h"
#include "settings/PeerSeed.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rr {

/// What an instance is told about itself.
struct InstanceOptions {
  std::string Name;
  std::string Zone;
  std::string CallerAddress;
  std::string PeerAddress;
  /// Rises with each start of the process.
  std::uint64_t Incarnation = 1;
  std::uint64_t RandomSeed = 1;
  std::vector<PeerSeed> Seeds;
  std::chrono::milliseconds LookupMaxAge{10000};
  std::chrono::milliseconds StopGrace{10000};
  std::chrono::milliseconds LongestStop{30000};
};

} // namespace rr

#endif // REDWINGRACK_INSTANCE_INSTANCEOPTIONS_H
