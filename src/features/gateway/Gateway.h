#ifndef REDWINGRACK_GATEWAY_GATEWAY_H
#define REDWINGRACK_GATEWAY_GATEWAY_H

#include "base/Cancellation.h"
#include "base/Random.h"
#include "gateway/AttemptResult.h"
#include "gateway/BoundedLog.h"
#include "gateway/GatewayRequest.h"
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
  struct Attempt;
  struct Progress;
  asio::awaitable<HttpMessage> forward(GatewayRequest Request);
  Placement place(const GatewayRequest &Request, const Progress &Sofar);
  asio::awaitable<Attempt> attempt(const GatewayRequest &Request,
                                   const Progress &Sofar, Placement Where);
  void learn(const GatewayRequest &Request, const Progress &Sofar,
             const Attempt &Done);
  void write(Event Number, const std::string &Outcome,
             const std::function<std::vector<EventField>()> &Fields);
  void countAttempt(const Progress &Sofar, const Attempt &Done);
  void countEnd(const GatewayRequest &Request, const char *Outcome);
  /// Refuses a request before a server is chosen. \p DecidedBy is the
  /// instance that found the workspace's rate used up, if that is the reason.
  HttpMessage refuse(const std::string &Id, HttpMessage Refusal,
                     const std::string &DecidedBy = "");
  void logAttempt(const GatewayRequest &Request, const Progress &Sofar,
                  const Attempt &Done) const;
  bool mayRetry(const GatewayRequest &Request, const Progress &Sofar,
                const Attempt &Done);
  /// Ends a request without a good answer. \p Where says why no server was
  /// chosen, if that is the reason.
  HttpMessage conclude(const GatewayRequest &Request, const Progress &Sofar,
                       const Placement &Where);
  void logEnd(const GatewayRequest &Request, const Progress &Sofar,
              const Placement &Where, int Status, const char *Outcome);
  std::vector<EventField> describeEnd(const GatewayRequest &Request,
                                      const Progress &Sofar,
                                      const Placement &Where, int Status,
                                      const char *Outcome) const;
  RetryBudget &budgetOf(const std::string &Service);
  Clock::duration retryDelay();

  SteeringState &State;
  QuotaExchange &Quotas;
  Metrics &Counters;
  HttpConnectionPool Links;
  RandomEngine Random;
  BoundedLog Log;
  std::function<void(const std::string &)> VersionStopped;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_GATEWAY_H
