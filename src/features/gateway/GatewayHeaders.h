#ifndef REDWINGRACK_GATEWAY_GATEWAYHEADERS_H
#define REDWINGRACK_GATEWAY_GATEWAYHEADERS_H

#include <string>

namespace rr {

/// Names of the headers that callers, instances and backend servers exchange.
struct GatewayHeaders {
  std::string RequestId;
  /// Time left for the request, in milliseconds.
  std::string Deadline;
  /// API key of the workspace.
  std::string Key;
  std::string Workspace;
  /// Name of the object that the request needs, for cache affinity.
  std::string Object;
  /// Id of the only backend server that may run the request.
  std::string ExpectedServer;
  /// Set by backend servers on answers that they produced themselves.
  std::string ServerStamp;
  /// Set by backend servers on answers to requests that they did not run.
  std::string NotRun;
  /// Load of a backend server: running requests, waiting requests, slots
  /// and optionally the time that work takes at this moment, in percent of the
  /// usual time, separated by commas.
  std::string Load;
  /// Requests per second that a backend server takes from all instances
  /// together, as a decimal number.
  std::string Limit;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_GATEWAYHEADERS_H
