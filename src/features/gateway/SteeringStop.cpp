#include "gateway/SteeringInstance.h"

#include "gateway/GatewayReplies.h"
#include "gateway/RequestAdmission.h"
#include "logging/EventLog.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include <algorithm>

namespace rr {

namespace {

/// Time for the last counts of usage, after requests that took all of the time.
/// Half of what StopSchedule reserves for the end of the process.
constexpr Clock::duration MinUsageTime = std::chrono::milliseconds(50);
constexpr Clock::duration DrainPollPeriod = std::chrono::milliseconds(50);

/// Retry-After of uploads that are refused: callers have a new list of
/// instances by then.
constexpr Clock::duration RefusedReadRetryAfter =
    std::chrono::milliseconds(300);

} // namespace

void SteeringInstance::beginStop(std::function<void()> OnStopped) {
  if (this->State.Leaving)
    return;
  this->State.Leaving = true;
  const StopSchedule Plan =
      planStop(Clock::now(), this->State.Settings.Bounds.StopTime);
  this->State.StopsAt = Plan.AnswerBy;
  logEvent(Event::SteeringLeaving,
           {{"running", std::to_string(this->CallerServer.activeRequests())}});
  this->AnnounceTimer.cancel();
  if (this->Usage)
    this->Usage->handOver();
  asio::co_spawn(this->Context, this->drainAndStop(Plan, std::move(OnStopped)),
                 asio::detached);
}

std::optional<HttpMessage>
SteeringInstance::refuseUpload(const HttpMessage &Head) const {
  if (!this->State.Leaving || !this->State.Config)
    return std::nullopt;
  const std::string *Host = findHeader(Head.Headers, "Host");
  const SteeringRoute *Route =
      findRoute(*this->State.Config, Host ? *Host : "", Head.Target);
  // Requests without a route are refused once they are complete.
  if (!Route)
    return std::nullopt;
  const Clock::duration Limit =
      std::min(Route->Timeout, callerTimeout(Head, this->State.Settings.Headers)
                                   .value_or(Route->Timeout));
  if (finishesBeforeStop(this->State, *Route, Route->Split.front().Service,
                         Clock::now() + Limit))
    return std::nullopt;
  return stopRefusal(RefusedReadRetryAfter);
}

asio::awaitable<void>
SteeringInstance::drainAndStop(StopSchedule Plan,
                               std::function<void()> OnStopped) {
  this->CallerServer.closeAfterResponses();
  while (Clock::now() < Plan.AcceptUntil) {
    this->CallerServer.checkUploads();
    co_await sleepFor(
        std::min(DrainPollPeriod, Plan.AcceptUntil - Clock::now()));
  }
  this->CallerServer.stopAccepting();
  this->CallerServer.closeIdle();
  while (Clock::now() < Plan.ExitAt &&
         this->CallerServer.activeRequests() > 0) {
    this->CallerServer.checkUploads();
    if (Clock::now() >= Plan.ReadUntil)
      this->CallerServer.refuseReads(stopRefusal(RefusedReadRetryAfter));
    if (Clock::now() >= Plan.AnswerBy)
      this->CallerRequests.cancelAll();
    co_await sleepFor(DrainPollPeriod);
  }
  if (this->CallerServer.activeRequests() > 0)
    logEvent(Event::StopCutRequests,
             {{"count", std::to_string(this->CallerServer.activeRequests())}});
  if (this->Usage)
    co_await this->Usage->finish(
        std::max(MinUsageTime, Plan.ExitAt - Clock::now()));
  logEvent(Event::SteeringStopped);
  this->Stopped = true;
  this->Links.stop();
  OnStopped();
}

} // namespace rr
