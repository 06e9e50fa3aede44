#ifndef REDWINGRACK_CONFIGURATION_CONFIGCOPY_H
#define REDWINGRACK_CONFIGURATION_CONFIGCOPY_H

#include "model/FleetConfig.h"

#include <cstdint>
#include <memory>
#include <string>

namespace rr {

/// A committed configuration version, parsed and as the JSON text that its hash
/// was computed over. Text and Config are null while there is none.
struct ConfigCopy {
  std::uint64_t Version = 0;
  std::string Hash;
  std::shared_ptr<const std::string> Text;
  std::shared_ptr<const FleetConfig> Config;
};

} // namespace rr

#endif // REDWINGRACK_CONFIGURATION_CONFIGCOPY_H
