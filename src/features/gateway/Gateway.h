#ifndef REDWINGRACK_GATEWAY_GATEWAY_H
#define REDWINGRACK_GATEWAY_GATEWAY_H

#include "base/Cancellation.h"
#include "base/Random.h"
#include "gateway/AttemptResult.h"
#include "gateway/GatewayRequest.h"
#include "gateway/RateLimitedLog.h"
#include "gateway/SteeringState.h"
#include "http1/HttpConnectionPool.h"
#include "http1/HttpMessage.h"
#include "steering/PlacementRule.h"
#include "telemetry/Metrics.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <functional>

namespace rr {

class QuotaExchange;

/// Serves callers' requests: admits them, places them and forwards them to
/// backend servers.
class Gateway {
public:
  /// \p State, \p Quotas and \p Counters outlive the gateway.
  Gateway(asio::io_context &Context, SteeringState &State,
          QuotaExchange &Quotas, Metrics &Counters);

  asio::awaitable<HttpMessage> handle(HttpMessage Message,
                                      CancellationPtr Cancel);

  HttpConnectionPool &links() { return this->Links; }
  /// Runs when this instance finds a service's new version to be bad.
  void onVersionStopped(std::function<void(const std::string &)> Handler) {
    this->VersionStopped = std::move(Handler);
  }

private:
  struct ServerAttempt;
  struct RequestProgress;
  asio::awaitable<HttpMessage> forward(GatewayRequest Request);
  Placement placeRequest(const GatewayRequest &Request,
                         const RequestProgress &Progress);
  asio::awaitable<ServerAttempt> sendAttempt(const GatewayRequest &Request,
                                             const RequestProgress &Progress,
                                             Placement Decision);
  void recordAttempt(const GatewayRequest &Request,
                     const RequestProgress &Progress,
                     const ServerAttempt &Attempt);
  void logRateLimited(Event Number, const std::string &Outcome,
                      const std::function<std::vector<EventField>()> &Fields);
  void countAttempt(const RequestProgress &Progress,
                    const ServerAttempt &Attempt);
  void countOutcome(const GatewayRequest &Request, const char *Outcome);
  /// Refuses a request before a server is chosen. \p DecidedBy is the
  /// instance that found the workspace's rate used up, if that is the reason.
  HttpMessage refuse(const std::string &Id, HttpMessage Refusal,
                     const std::string &DecidedBy = "");
  void logAttempt(const GatewayRequest &Request,
                  const RequestProgress &Progress,
                  const ServerAttempt &Attempt) const;
  bool mayRetry(const GatewayRequest &Request, const RequestProgress &Progress,
                const ServerAttempt &Attempt);
  /// Ends a request without a good answer. \p Decision says why no server was
  /// chosen, if that is the reason.
  HttpMessage failRequest(const GatewayRequest &Request,
                          const RequestProgress &Progress,
                          const Placement &Decision);
  void logOutcome(const GatewayRequest &Request,
                  const RequestProgress &Progress, const Placement &Decision,
                  int Status, const char *Outcome);
  std::vector<EventField> outcomeFields(const GatewayRequest &Request,
                                        const RequestProgress &Progress,
                                        const Placement &Decision, int Status,
                                        const char *Outcome) const;
  RetryBudget &retryBudgetFor(const std::string &Service);
  Clock::duration retryAfterDelay();

  SteeringState &State;
  QuotaExchange &Quotas;
  Metrics &Counters;
  HttpConnectionPool Links;
  RandomEngine Random;
  RateLimitedLog Log;
  std::function<void(const std::string &)> VersionStopped;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_GATEWAY_H
