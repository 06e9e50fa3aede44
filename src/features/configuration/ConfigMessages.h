#ifndef REDWINGRACK_CONFIGURATION_CONFIGMESSAGES_H
#define REDWINGRACK_CONFIGURATION_CONFIGMESSAGES_H

#include "base/Outcome.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace rr {

/// `controlUpdate`: the sender has this configuration in force.
struct ConfigAnnouncement {
  std::uint64_t Version = 0;
  std::string Hash;
  /// Bytes of its text.
  std::uint64_t Size = 0;
};

/// `fetch`: asks for the text from an offset on.
struct ConfigFetch {
  std::uint64_t Version = 0;
  std::uint64_t Offset = 0;
};

/// Answer to ConfigFetch. It names the version that the sender has now, which
/// may be newer than the one asked for.
struct ConfigChunk {
  /// Half of the bound of a message.
  static constexpr std::size_t MaxDataBytes = 512 * 1024;
  /// Ten times the configuration with 260,000 client blocks.
  static constexpr std::uint64_t MaxConfigBytes = 200ULL * 1024 * 1024;

  ConfigAnnouncement Source;
  std::uint64_t Offset = 0;
  std::string Data;
};

nlohmann::json encode(const ConfigAnnouncement &Message);
nlohmann::json encode(const ConfigFetch &Message);
nlohmann::json encode(const ConfigChunk &Message);
/// Errc::Malformed when a member is missing or out of bounds.
Outcome<ConfigAnnouncement>
decodeConfigAnnouncement(const nlohmann::json &Document);
Outcome<ConfigFetch> decodeConfigFetch(const nlohmann::json &Document);
Outcome<ConfigChunk> decodeConfigChunk(const nlohmann::json &Document);

} // namespace rr

#endif // REDWINGRACK_CONFIGURATION_CONFIGMESSAGES_H
