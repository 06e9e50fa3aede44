#ifndef REDWINGRACK_GATEWAY_STANDBYFORWARDER_H
#define REDWINGRACK_GATEWAY_STANDBYFORWARDER_H

#include "base/Cancellation.h"
#include "gateway/RateLimitedLog.h"
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

class Metrics;

/// Forwards requests and look-ups that arrive at a standby, whose view of the
/// tables is outdated, to instances in service in the same availability zone or
/// region. An instance whose own orders may be outdated declines.
class StandbyForwarder {
public:
  /// Removes the header of a forwarded request and returns the minimum
  /// configuration version that it requires; none for other requests.
  static std::optional<std::uint64_t>
  takeForwardedVersion(HttpMessage &Request);
  /// Adds the header with the configuration version that was used to answer a
  /// forwarded request.
  static void addVersionHeader(HttpMessage &Answer, std::uint64_t Version);
  /// Reply of an instance that cannot serve a forwarded request; the request
  /// did not run.
  static HttpMessage declinedReply();

  /// \p State and \p Counters must outlive the forwarder. NewestSeen of the
  /// state takes account of the versions that answers name.
  StandbyForwarder(asio::io_context &Context, SteeringState &State,
                   Metrics &Counters);

  /// Takes the connections to other instances from \p Budget.
  void setBudget(const std::shared_ptr<ConnectionBudget> &Budget);

  /// Forwards a request. None if no instance accepted it; the request did not
  /// run then.
  asio::awaitable<std::optional<HttpMessage>>
  forwardRequest(HttpMessage Request, CancellationPtr Cancel);
  /// Forwards a look-up. None if no instance answered it.
  asio::awaitable<std::optional<HttpMessage>>
  forwardLookup(HttpMessage Request);

private:
  void logCallerLeft(const Cancellation &Cancel, bool Sent,
                     Clock::time_point Start);
  /// Reports an answer of the instance at \p Address that is no valid HTTP;
  /// does nothing for other results.
  void reportMalformed(const ExchangeResult &Result, const HttpMessage &Request,
                       const std::string &Address);
  /// Removes the version header of \p Answer and records its value.
  void recordVersion(HttpMessage &Answer);
  /// Time-out for the whole request.
  Clock::duration requestTimeout(const HttpMessage &Request) const;
  /// Whether the request, if it is forwarded now, is done before this instance
  /// stops.
  bool canFinish(const HttpMessage &Request, Clock::time_point TimeLimit) const;
  /// Addresses to try, in order, starting with a different one each time.
  std::vector<std::string> candidates(Clock::time_point Now);

  SteeringState &State;
  Metrics &Counters;
  /// Keeps idle connections, since look-ups may be repeated.
  HttpConnectionPool Lookups;
  /// Keeps no idle connections: a request that must run only once could be lost
  /// on a connection that is being closed.
  HttpConnectionPool Requests;
  /// Addresses that are skipped, and until when.
  std::map<std::string, Clock::time_point> AvoidedUntil;
  std::size_t NextCandidate = 0;
  RateLimitedLog Log;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_STANDBYFORWARDER_H
