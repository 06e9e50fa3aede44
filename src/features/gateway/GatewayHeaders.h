#ifndef REDWINGRACK_GATEWAY_GATEWAYHEADERS_H
#define REDWINGRACK_GATEWAY_GATEWAYHEADERS_H

#include <string>

namespace rr {

/// Names of the header fields that callers, this instance and backend servers
/// use towards each other.
struct GatewayHeaders {
  std::string RequestId;
  /// Milliseconds that the sender still waits.
  std::string Deadline;
  std::string Key;
  std::string Workspace;
  std::string Object;
  /// Id of the only server that may run the request.
  std::string ExpectedServer;
  /// On answers that a server produced itself.
  std::string ServerStamp;
  /// On answers that say that the request was not run.
  std::string NotRun;
  /// Running, waiting and slots, separated by commas.
  std::string Load;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_GATEWAYHEADERS_H
