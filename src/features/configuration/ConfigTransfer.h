#ifndef REDWINGRACK_CONFIGURATION_CONFIGTRANSFER_H
#define REDWINGRACK_CONFIGURATION_CONFIGTRANSFER_H

#include "configuration/ConfigMessages.h"

#include <optional>
#include <string>

namespace rr {

class ConfigStore;

/// Announcement of the current configuration, for peers.
ConfigAnnouncement makeAnnouncement(const ConfigStore &Store);
/// Response to a fetch request. Starts at offset 0 if the request is for
/// another version or its offset is past the end. Errc::NotFound while \p Store
/// has no configuration.
Outcome<ConfigChunk> makeChunk(const ConfigFetch &Message,
                               const ConfigStore &Store);

/// Fetches one configuration from one peer, chunk by chunk.
class ConfigTransfer {
public:
  /// Returns the first request for the announced configuration; nothing if it
  /// is not newer than the one in \p Store.
  std::optional<ConfigFetch> begin(const ConfigAnnouncement &Announcement,
                                   const ConfigStore &Store);
  /// Appends a chunk. Returns the next request, or nothing once the transfer is
  /// complete. A chunk of a newer version restarts the transfer.
  /// Errc::Malformed if the chunk is of an older version, does not continue the
  /// text, is empty or exceeds the announced size, or if the configuration is
  /// rejected.
  Outcome<std::optional<ConfigFetch>> processChunk(const ConfigChunk &Chunk,
                                                   ConfigStore &Store);

private:
  ConfigAnnouncement Source;
  std::string Text;
};

} // namespace rr

#endif // REDWINGRACK_CONFIGURATION_CONFIGTRANSFER_H
