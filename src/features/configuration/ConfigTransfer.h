#ifndef REDWINGRACK_CONFIGURATION_CONFIGTRANSFER_H
#define REDWINGRACK_CONFIGURATION_CONFIGTRANSFER_H

#include "configuration/ConfigMessages.h"

#include <optional>
#include <string>

namespace rr {

class ConfigStore;

/// What an instance tells its peers about its configuration.
ConfigAnnouncement makeAnnouncement(const ConfigStore &Store);
/// Errc::NotFound while there is no configuration here.
Outcome<ConfigChunk> makeChunk(const ConfigFetch &Message,
                               const ConfigStore &Store);

/// Fetches one configuration from one peer, chunk by chunk.
class ConfigTransfer {
public:
  /// The first request after an announcement; empty when it is not newer.
  std::optional<ConfigFetch> begin(const ConfigAnnouncement &Announcement,
                                   const ConfigStore &Store);
  /// Takes a chunk. Returns the next request, or nothing when the transfer
  /// has ended and the configuration was adopted. A sender that moved to
  /// another version restarts the transfer.
  Outcome<std::optional<ConfigFetch>> processChunk(const ConfigChunk &Chunk,
                                                   ConfigStore &Store);

private:
  ConfigAnnouncement Source;
  std::string Text;
};

} // namespace rr

#endif // REDWINGRACK_CONFIGURATION_CONFIGTRANSFER_H
