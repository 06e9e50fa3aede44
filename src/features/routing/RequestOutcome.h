#ifndef REDWINGRACK_ROUTING_REQUESTOUTCOME_H
#define REDWINGRACK_ROUTING_REQUESTOUTCOME_H

namespace rr {

/// How a request on a backend server ended.
enum class RequestOutcome {
  Success,
  /// Answer of the server's fault, timeout or broken connection.
  Failure,
  /// Ended by the caller or by this instance; says nothing about the server.
  Abandoned,
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_REQUESTOUTCOME_H
