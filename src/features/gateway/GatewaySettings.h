#ifndef REDWINGRACK_GATEWAY_GATEWAYSETTINGS_H
#define REDWINGRACK_GATEWAY_GATEWAYSETTINGS_H

#include "gateway/GatewayHeaders.h"
#include "gateway/SteeringBounds.h"
#include "logging/EventLog.h"

#include <map>
#include <string>

namespace rr {

/// What an instance needs to know to start.
struct GatewaySettings {
  std::string Name;
  std::string Zone;
  std::string Region;
  /// Where callers send requests, IP:PORT.
  std::string CallerAddress;
  /// Where readiness is asked for; may be empty.
  std::string ReadinessAddress;
  /// Where callers ask for instances; may be empty.
  std::string LookupAddress;
  /// Where other instances connect, IP:PORT; may be empty.
  std::string PeerAddress;
  /// Where metrics are read, IP:PORT; may be empty.
  std::string MetricsAddress;
  /// Of the platform's store, IP:PORT.
  std::string StoreAddress;
  /// Processor share that the process may use.
  double CpuShare = 1;
  /// Memory that the process may use, in MiB.
  double MemoryMiB = 256;
  /// Region by availability zone.
  std::map<std::string, std::string> RegionByZone;
  GatewayHeaders Headers;
  SteeringBounds Bounds;
  EventLogSettings Log;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_GATEWAYSETTINGS_H
