#ifndef REDWINGRACK_GATEWAY_STANDBYFORWARDER_H
#define REDWINGRACK_GATEWAY_STANDBYFORWARDER_H

#include "base/Cancellation.h"
#include "gateway/SteeringState.h"
#include "http1/HttpConnectionPool.h"
#include "http1/HttpMessage.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rr {

/// Lets instances in service, of the same availability zone or region, answer
/// what callers send to a standby, which does not know the newest entries. An
/// instance that may have missed orders itself declines.
class StandbyForwarder {
public:
  /// Removes the mark of a forwarded request. The version of the
  /// configuration that must be known to answer it; none without a mark.
  static std::optional<std::uint64_t>
  takeForwardedVersion(HttpMessage &Request);
  /// Says in the answer to a forwarded request by which version it was made.
  static void addVersionHeader(HttpMessage &Answer, std::uint64_t Version);
  /// Answer of an instance that cannot stand in; the request has not run.
  static HttpMessage declinedReply();

  /// \p State outlives the forwarder.
  StandbyForwarder(asio::io_context &Context, const SteeringState &State);

  /// The answer to a request; none when it was not sent anywhere.
  asio::awaitable<std::optional<HttpMessage>>
  forwardRequest(HttpMessage Request, CancellationPtr Cancel);
  /// The answer to a look-up; none when nobody gave one.
  asio::awaitable<std::optional<HttpMessage>>
  forwardLookup(HttpMessage Request);

private:
  void recordVersion(HttpMessage &Answer);
  /// How long the request may take.
  Clock::duration requestTimeout(const HttpMessage &Request) const;
  /// Addresses to try, in order; another one comes first each time.
  std::vector<std::string> candidates(Clock::time_point Now);

  const SteeringState &State;
  /// Looks-up may be repeated, so their connections are kept.
  HttpConnectionPool Lookups;
  HttpConnectionPool Requests;
  std::map<std::string, Clock::time_point> AvoidedUntil;
  std::size_t NextCandidate = 0;
  /// Newest version by which a request to this instance was answered. A caller
  /// must not see an older one after it.
  std::uint64_t NewestSeenVersion = 0;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_STANDBYFORWARDER_H
