#ifndef REDWINGRACK_CONFIGURATION_CONFIGMESSAGES_H
#define REDWINGRACK_CONFIGURATION_CONFIGMESSAGES_H

#include "base/Outcome.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace rr {

/// `controlUpdate`: announces the configuration that the sender has in force.
struct ConfigAnnouncement {
  std::uint64_t Version = 0;
  /// SHA-256 of the text, in hexadecimal.
  std::string Hash;
  /// Size of the text in bytes.
  std::uint64_t Size = 0;
};

/// `fetch`: requests the configuration text from an offset, in bytes.
struct ConfigFetch {
  std::uint64_t Version = 0;
  std::uint64_t Offset = 0;
};

/// Response to ConfigFetch. Source describes the version that the sender has
/// now, which may be newer than the requested one.
struct ConfigChunk {
  /// Half of the size limit of a message.
  static constexpr std::size_t MaxDataBytes = 512 * 1024;
  /// Ten times the size of a configuration with 260,000 client blocks.
  static constexpr std::uint64_t MaxConfigBytes = 200ULL * 1024 * 1024;

  ConfigAnnouncement Source;
  std::uint64_t Offset = 0;
  std::string Data;
};

nlohmann::json encode(const ConfigAnnouncement &Message);
nlohmann::json encode(const ConfigFetch &Message);
nlohmann::json encode(const ConfigChunk &Message);
/// The decoders return Errc::Malformed if a member is missing or out of bounds.
Outcome<ConfigAnnouncement>
decodeConfigAnnouncement(const nlohmann::json &Document);
Outcome<ConfigFetch> decodeConfigFetch(const nlohmann::json &Document);
Outcome<ConfigChunk> decodeConfigChunk(const nlohmann::json &Document);

} // namespace rr

#endif // REDWINGRACK_CONFIGURATION_CONFIGMESSAGES_H
