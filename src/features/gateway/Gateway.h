#ifndef REDWINGRACK_GATEWAY_GATEWAY_H
#define REDWINGRACK_GATEWAY_GATEWAY_H

#include "base/Cancellation.h"
#include "base/Random.h"
#include "gateway/AttemptResult.h"
#include "gateway/CrashDetector.h"
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
#include <optional>

namespace rr {

class QuotaExchange;
class UsageCounter;

/// Serves callers' requests: admits them, chooses backend servers and forwards
/// the requests to them.
class Gateway {
public:
  /// \p State, \p Quotas and \p Counters must outlive the gateway.
  Gateway(asio::io_context &Context, SteeringState &State,
          QuotaExchange &Quotas, Metrics &Counters);

  /// \p Arrived is when the request reached this instance.
  asio::awaitable<HttpMessage> handle(HttpMessage Message,
                                      CancellationPtr Cancel,
                                      Clock::time_point Arrived);

  HttpConnectionPool &links() { return this->Links; }
  CrashDetector &crashes() { return this->Crashes; }
  /// Sets the function that reads the rows of backend servers if they are
  /// outdated. It is called before each choice of a server.
  void setBackendReader(std::function<asio::awaitable<void>()> Reader) {
    this->ReadBackends = std::move(Reader);
  }
  /// Sets the counter of the requests that servers began to run; it must
  /// outlive the gateway.
  void setUsageCounter(UsageCounter &Counter) { this->Usage = &Counter; }
  /// Sets a handler that is called with the name of a service when this
  /// instance stops the rollout of the service's new version because of errors
  /// or latency.
  void onVersionStopped(std::function<void(const std::string &)> Handler) {
    this->VersionStopped = std::move(Handler);
  }
  /// Sets a handler that is called with the fingerprint of a suspected request
  /// that a server answered.
  void onSuspectAnswered(std::function<void(const std::string &)> Handler) {
    this->SuspectAnswered = std::move(Handler);
  }

private:
  struct ServerAttempt;
  struct RequestProgress;
  asio::awaitable<HttpMessage> forward(GatewayRequest Request);
  PlacementQuery placementQuery(const GatewayRequest &Request,
                                const RequestProgress &Progress,
                                Clock::time_point Now) const;
  /// Whether the requests of the service are placed by cost.
  bool placesByCost(const std::string &Service) const;
  Placement placeRequest(const GatewayRequest &Request,
                         const RequestProgress &Progress);
  asio::awaitable<ServerAttempt> sendAttempt(const GatewayRequest &Request,
                                             const RequestProgress &Progress,
                                             Placement Decision);
  Clock::duration connectTimeout(const BackendState &Server) const;
  /// Updates server health, latency estimates and version statistics from a
  /// finished attempt.
  void recordAttempt(const GatewayRequest &Request,
                     const RequestProgress &Progress,
                     const ServerAttempt &Attempt);
  /// Updates the estimates of placement by cost from a finished attempt.
  /// \p Load is what the answer reports.
  void learnCost(const GatewayRequest &Request, const RequestProgress &Progress,
                 const ServerAttempt &Attempt,
                 const std::optional<LoadSample> &Load);
  void recordReport(const RequestProgress &Progress,
                    const ServerAttempt &Attempt,
                    const std::optional<LoadSample> &Load);
  void countPlacement(const GatewayRequest &Request,
                      const RequestProgress &Progress,
                      const Placement &Decision);
  /// Counts the attempt for the workspace's usage if a server began to run it.
  void recordUsage(const GatewayRequest &Request, const ServerAttempt &Attempt);
  void logRateLimited(Event Number, const std::string &Outcome,
                      const std::function<std::vector<EventField>()> &Fields);
  void countAttempt(const RequestProgress &Progress,
                    const ServerAttempt &Attempt);
  void countOutcome(const GatewayRequest &Request, const char *Outcome);
  /// Logs and counts the refusal of a request that was not admitted.
  /// \p DecidedBy names the instance that found the workspace's rate exceeded;
  /// empty for other reasons. \p Outcome is the label of the metric; by
  /// default it follows from the status.
  HttpMessage refuse(const std::string &Id, HttpMessage Refusal,
                     const std::string &DecidedBy = "",
                     const char *Outcome = nullptr);
  /// Logs a placement that relies on outdated rows of backend servers.
  void logOutdatedServers(const GatewayRequest &Request,
                          const Placement &Decision);
  void logAttempt(const GatewayRequest &Request,
                  const RequestProgress &Progress,
                  const ServerAttempt &Attempt) const;
  /// Whether the request may be sent to another server. Takes a token of the
  /// retry budget, except after a failed connection.
  bool mayRetry(const GatewayRequest &Request, const RequestProgress &Progress,
                const ServerAttempt &Attempt);
  /// Builds the reply to a request that no server answered successfully.
  /// \p Decision is the last placement; it tells why no server was chosen.
  HttpMessage failRequest(const GatewayRequest &Request,
                          const RequestProgress &Progress,
                          const Placement &Decision);
  /// Whether the request, if it is passed on now, is done before this instance
  /// stops.
  bool canFinish(const GatewayRequest &Request,
                 const std::string &Service) const;
  /// Refuses a request that has not run and cannot be done before this instance
  /// stops.
  HttpMessage refuseAtStop(const GatewayRequest &Request);
  /// Builds the reply to a request whose next attempt could not be done before
  /// this instance stops.
  HttpMessage withdrawAtStop(const GatewayRequest &Request,
                             const RequestProgress &Progress);
  /// Builds the reply to a request that was cancelled, by its caller or because
  /// the instance stops.
  /// \p Attempt is the cancelled one; null if there was none.
  HttpMessage endRequest(const GatewayRequest &Request,
                         const RequestProgress &Progress,
                         const ServerAttempt *Attempt);
  void logFailedAttempt(const GatewayRequest &Request,
                        const ServerAttempt &Attempt);
  void logCallerLeft(const GatewayRequest &Request,
                     const ServerAttempt *Attempt);
  void logOutcome(const GatewayRequest &Request,
                  const RequestProgress &Progress, const Placement &Decision,
                  int Status, const char *Outcome);
  std::vector<EventField> outcomeFields(const GatewayRequest &Request,
                                        const RequestProgress &Progress,
                                        const Placement &Decision, int Status,
                                        const char *Outcome) const;
  /// Time for which the request is refused because it crashed servers.
  Clock::duration blockedFor(const GatewayRequest &Request) const;
  /// Records what the answer says about the server's limit.
  void recordLimit(const ServerAttempt &Attempt);
  /// Records that a server answered the request, which ends a suspicion.
  void recordHarmless(const GatewayRequest &Request);
  RetryBudget &retryBudgetFor(const std::string &Service);
  /// Value of the Retry-After header of a refusal, with jitter.
  Clock::duration retryAfterDelay();

  SteeringState &State;
  QuotaExchange &Quotas;
  Metrics &Counters;
  HttpConnectionPool Links;
  CrashDetector Crashes;
  RandomEngine Random;
  RateLimitedLog Log;
  /// Null if usage is not reported.
  UsageCounter *Usage = nullptr;
  std::function<asio::awaitable<void>()> ReadBackends;
  std::function<void(const std::string &)> VersionStopped;
  std::function<void(const std::string &)> SuspectAnswered;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_GATEWAY_H
