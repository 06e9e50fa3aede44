#ifndef REDWINGRACK_SETTINGS_SETTINGS_H
#define REDWINGRACK_SETTINGS_SETTINGS_H

#include "settings/OperatorToken.h"
#include "settings/PeerSeed.h"
#include "settings/SocketAddress.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace rr {

/// Settings of one instance, read from a TOML file. docs/settings.md lists the
/// keys and defaults.
struct Settings {
  std::string InstanceName;
  std::string Zone;
  SocketAddress CallerListen;
  SocketAddress PeerListen;
  SocketAddress AdminListen;
  /// Address that look-ups return to callers. CallerListen when not set.
  std::string AdvertisedCallerAddress;
  std::string AdvertisedPeerAddress;

  std::string PlatformUrl;
  std::chrono::milliseconds PlatformTimeout{1000};

  std::string PeerSecret;
  /// Instances from which the control state is requested at startup.
  std::vector<PeerSeed> PeerSeeds;

  std::uint64_t MaxRequestBodyBytes = 1U << 20;
  std::uint64_t MaxResponseBodyBytes = 8U << 20;
  std::uint64_t MaxCallerConnections = 4096;
  std::chrono::milliseconds LookupMaxAge{10000};
  std::chrono::milliseconds StopGrace{10000};
  std::chrono::milliseconds MaxStopTime{30000};

  std::vector<OperatorToken> OperatorTokens;

  bool LogJson = false;
  std::string LogLevel = "info";
  /// File to which spans are appended; empty for none.
  std::string SpanFile;
  /// OTLP/HTTP URL to which spans are posted; empty for none.
  std::string SpanUrl;
};

} // namespace rr

#endif // REDWINGRACK_SETTINGS_SETTINGS_H
