#ifndef REDWINGRACK_GATEWAY_GATEWAYSETTINGS_H
#define REDWINGRACK_GATEWAY_GATEWAYSETTINGS_H

#include "gateway/GatewayHeaders.h"
#include "gateway/PlacementSettings.h"
#include "gateway/SteeringBounds.h"
#include "logging/EventLog.h"
#include "usage/UsageSettings.h"

#include <cstddef>
#include <map>
#include <string>

namespace rr {

/// Start-up settings of an instance.
struct GatewaySettings {
  std::string Name;
  std::string Zone;
  std::string Region;
  /// Listen address for requests of callers, IP:PORT.
  std::string CallerAddress;
  /// Listen address for readiness probes, IP:PORT; empty disables it.
  std::string ReadinessAddress;
  /// Listen address for instance look-ups, IP:PORT; empty disables it.
  std::string LookupAddress;
  /// Listen address for links to other instances, IP:PORT; empty disables it.
  std::string PeerAddress;
  /// Listen address for metrics, IP:PORT; empty disables it.
  std::string MetricsAddress;
  /// Address of the platform's store, IP:PORT.
  std::string StoreAddress;
  /// CPU share that the process may use.
  double CpuShare = 1;
  /// Memory limit of the process, in MiB.
  double MemoryMiB = 256;
  /// File descriptors that the process may use; 0 for the limit of the process.
  std::size_t Descriptors = 0;
  /// Region by availability zone.
  std::map<std::string, std::string> RegionByZone;
  GatewayHeaders Headers;
  SteeringBounds Bounds;
  PlaceByCost ByCost = PlaceByCost::Auto;
  UsageSettings Usage;
  EventLogSettings Log;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_GATEWAYSETTINGS_H
