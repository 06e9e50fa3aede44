#include "gateway/StandbyForwarder.h"

#include "base/Errc.h"
#include "gateway/GatewayAttempt.h"
#include "gateway/GatewayReplies.h"
#include "gateway/RequestAdmission.h"
#include "gateway/StopDecision.h"
#include "http1/MessageSerializer.h"
#include "logging/EventLog.h"
#include "tables/BootTime.h"
#include "telemetry/Metrics.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace rr {

namespace {

/// Idle look-up connections kept per instance.
constexpr std::size_t MaxIdleLookupLinks = 2;
/// For each instance that is asked.
constexpr Clock::duration LookupTimeout = std::chrono::milliseconds(300);
/// Short enough to try other instances of the region afterwards.
constexpr Clock::duration ConnectTimeout = std::chrono::milliseconds(200);
/// Instances to which one request is offered.
constexpr std::size_t MaxTargets = 3;
/// An instance that declined or was unreachable is skipped for this long.
constexpr Clock::duration AvoidPeriod = std::chrono::milliseconds(1500);
/// For requests without a deadline header.
constexpr Clock::duration DefaultRequestTimeout = std::chrono::seconds(30);
/// The other instance replies at the route's time-out at the latest; this
/// allows for the transfer of its reply.
constexpr Clock::duration AnswerMargin = std::chrono::milliseconds(100);
/// Retry-After of a request whose time ended here.
constexpr Clock::duration RetryDelay = std::chrono::milliseconds(300);
/// Retry-After of refusals during a stop: the caller can ask another instance.
constexpr Clock::duration StopRetryAfter = std::chrono::milliseconds(300);
constexpr std::size_t MaxAnswerBytes = 64U << 20;
/// Header of requests that a standby forwards: minimum version of the
/// configuration.
const std::string ForwardedHeader = "Redwingrack-Forwarded";
/// Header of answers to forwarded requests: version of the configuration that
/// was used.
const std::string VersionHeader = "Redwingrack-Configuration";
/// Header of replies that decline a forwarded request.
const std::string DeclinedHeader = "Redwingrack-Declined";

std::uint64_t parseVersion(const std::string &Text) {
  std::uint64_t Version = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Version);
  return Version;
}

} // namespace

StandbyForwarder::StandbyForwarder(asio::io_context &Io,
                                   SteeringState &SharedState,
                                   Metrics &InstanceMetrics)
    : State(SharedState), Counters(InstanceMetrics),
      Lookups(Io, MaxIdleLookupLinks, {}),
      // A request that must run only once could be lost on an idle connection
      // that is being closed.
      Requests(Io, 0,
               // One answer may use at most half of the body budget.
               ParserLimits{32U << 10,
                            std::min(MaxAnswerBytes,
                                     SharedState.BodyBytes->capacity() / 2),
                            SharedState.BodyBytes}) {}

void StandbyForwarder::setBudget(
    const std::shared_ptr<ConnectionBudget> &Budget) {
  this->Lookups.setBudget(Budget, ConnectionUse::Servers);
  this->Requests.setBudget(Budget, ConnectionUse::Servers);
}

Clock::duration
StandbyForwarder::requestTimeout(const HttpMessage &Request) const {
  const Clock::duration Remaining =
      callerTimeout(Request, this->State.Settings.Headers)
          .value_or(DefaultRequestTimeout);
  const std::string *Host = findHeader(Request.Headers, "Host");
  const SteeringRoute *Route =
      this->State.Config
          ? findRoute(*this->State.Config, Host ? *Host : "", Request.Target)
          : nullptr;
  return Route ? std::min(Remaining, Route->Timeout + AnswerMargin) : Remaining;
}

bool StandbyForwarder::canFinish(const HttpMessage &Request,
                                 Clock::time_point TimeLimit) const {
  const std::string *Host = findHeader(Request.Headers, "Host");
  const SteeringRoute *Route =
      this->State.Config
          ? findRoute(*this->State.Config, Host ? *Host : "", Request.Target)
          : nullptr;
  // Without the route, the request may need all of its time.
  return Route ? finishesBeforeStop(this->State, *Route,
                                    Route->Split.front().Service, TimeLimit)
               : TimeLimit <= this->State.StopsAt;
}

std::vector<std::string> StandbyForwarder::candidates(Clock::time_point Now) {
  const GatewaySettings &Settings = this->State.Settings;
  std::erase_if(this->AvoidedUntil,
                [Now](const auto &Item) { return Item.second <= Now; });
  auto Targets = this->State.Members.nearbyAddresses(
      Settings.Zone, Settings.Region, &MemberRecord::Address);
  std::erase_if(Targets, [this](const std::string &Address) {
    return this->AvoidedUntil.contains(Address);
  });
  if (!Targets.empty())
    std::rotate(Targets.begin(),
                Targets.begin() +
                    std::ptrdiff_t(this->NextCandidate++ % Targets.size()),
                Targets.end());
  return Targets;
}

std::optional<std::uint64_t>
StandbyForwarder::takeForwardedVersion(HttpMessage &Request) {
  const std::string *Value = findHeader(Request.Headers, ForwardedHeader);
  if (!Value)
    return std::nullopt;
  const std::uint64_t Version = parseVersion(*Value);
  std::erase_if(Request.Headers, [](const HttpHeader &Field) {
    return equalIgnoreCase(Field.Name, ForwardedHeader);
  });
  return Version;
}

void StandbyForwarder::addVersionHeader(HttpMessage &Answer,
                                        std::uint64_t Version) {
  // A backend server may use the same header names for other purposes.
  std::erase_if(Answer.Headers, [](const HttpHeader &Field) {
    return equalIgnoreCase(Field.Name, VersionHeader) ||
           equalIgnoreCase(Field.Name, DeclinedHeader);
  });
  Answer.Headers.push_back({VersionHeader, std::to_string(Version)});
}

void StandbyForwarder::recordVersion(HttpMessage &Answer) {
  const std::string *Field = findHeader(Answer.Headers, VersionHeader);
  if (!Field)
    return;
  const std::uint64_t Version = parseVersion(*Field);
  const std::uint64_t Own =
      this->State.Config ? this->State.Config->Version : 0;
  if (this->State.NewestSeen.record(Version, bootTime()) && Version > Own)
    logEvent(Event::NewerConfigurationSeen,
             {{"version", std::to_string(Version)},
              {"own", std::to_string(Own)},
              {"orders_age_ms",
               millisecondText(bootTime() - this->State.OrdersReadAt)}});
  std::erase_if(Answer.Headers, [](const HttpHeader &Item) {
    return equalIgnoreCase(Item.Name, VersionHeader);
  });
}

HttpMessage StandbyForwarder::declinedReply() {
  HttpMessage Reply =
      plainReply(503, "the orders known to this instance may be outdated");
  Reply.Headers.push_back({DeclinedHeader, "1"});
  return Reply;
}

void StandbyForwarder::logCallerLeft(const Cancellation &Cancel, bool Sent,
                                     Clock::time_point Start) {
  this->Log.write(Event::CallerLeft, "caller_left_forwarded", [&] {
    const Clock::time_point Now = Clock::now();
    const auto Left = Cancel.cancelledAt();
    const auto Milliseconds = [](Clock::duration Time) {
      return std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
    };
    return std::vector<EventField>{
        {"route", "forwarded"},
        {"sent", std::to_string(Sent)},
        {"gone_ms", Left ? Milliseconds(Now - *Left) : "unknown"},
        {"ms", Milliseconds(Now - Start)}};
  });
}

void StandbyForwarder::reportMalformed(const ExchangeResult &Result,
                                       const HttpMessage &Request,
                                       const std::string &Address) {
  if (Result.Fault == MessageFault::None)
    return;
  const char *Reason = messageFaultName(Result.Fault);
  this->Counters.add(Metric::SteeringMalformedAnswers,
                     {{"sender", "instance"}, {"reason", Reason}});
  this->Log.write(Event::AnswerMalformed, "answer_malformed_forwarded", [&] {
    const std::string *Id =
        findHeader(Request.Headers, this->State.Settings.Headers.RequestId);
    return std::vector<EventField>{{"request", Id ? *Id : ""},
                                   {"route", "forwarded"},
                                   {"server", Address},
                                   {"reason", Reason}};
  });
}

asio::awaitable<std::optional<HttpMessage>>
StandbyForwarder::forwardRequest(HttpMessage Request, CancellationPtr Cancel) {
  const Clock::time_point Start = Clock::now();
  const Clock::time_point TimeLimit = Start + this->requestTimeout(Request);
  const Clock::time_point Deadline = std::min(TimeLimit, this->State.StopsAt);
  const auto CanFinish = [this, &Request, TimeLimit] {
    return this->canFinish(Request, TimeLimit);
  };
  if (!CanFinish())
    co_return stopRefusal(StopRetryAfter);
  removeHopByHopHeaders(Request.Headers);
  const std::uint64_t Own =
      this->State.Config ? this->State.Config->Version : 0;
  Request.Headers.push_back(
      {ForwardedHeader,
       std::to_string(std::max(Own, this->State.NewestSeen.version()))});
  const std::vector<std::string> Targets = this->candidates(Start);
  for (std::size_t I = 0; I < std::min(MaxTargets, Targets.size()); ++I) {
    const std::string &Address = Targets[I];
    HttpConnectionPool::Call Call;
    Call.Address = Address;
    Call.Request = Request;
    Call.ConnectDeadline =
        std::min(Clock::now() + ConnectTimeout, this->State.StopsAt);
    Call.Deadline = Deadline;
    Call.Cancel = Cancel;
    Call.MayWrite = [&] {
      return !(Cancel && Cancel->checkCancelled()) && Clock::now() < Deadline &&
             CanFinish();
    };
    auto Result = co_await this->Requests.call(std::move(Call));
    this->reportMalformed(Result, Request, Address);
    if (!Result.Error) {
      // An instance without room answers 503 before it looks at the request.
      const bool NoRoom = Result.Response.Status == 503 &&
                          !findHeader(Result.Response.Headers, VersionHeader);
      if (NoRoom || findHeader(Result.Response.Headers, DeclinedHeader)) {
        this->AvoidedUntil[Address] = Clock::now() + AvoidPeriod;
        continue;
      }
      this->recordVersion(Result.Response);
      removeHopByHopHeaders(Result.Response.Headers);
      Result.Response.KeepAlive = true;
      co_return std::move(Result.Response);
    }
    if (Result.Error == make_error_code(Errc::Cancelled)) {
      const bool Stopping = Clock::now() >= this->State.StopsAt;
      if (Cancel && Cancel->isCancelled() && !Stopping) {
        this->logCallerLeft(*Cancel, Result.MayHaveBeenSent, Start);
        co_return plainReply(499, "the caller closed the connection");
      }
      if (Result.MayHaveBeenSent)
        co_return plainReply(504, "this instance stops before another instance "
                                  "answered");
      if (Stopping || !CanFinish())
        co_return stopRefusal(StopRetryAfter);
      co_return refusalReply(
          503, "the time for this request ended before it could be sent",
          RetryDelay);
    }
    if (Result.Error == make_error_code(Errc::LimitReached) &&
        !Result.MayHaveBeenSent)
      co_return std::nullopt;
    if (Result.Error == make_error_code(Errc::Timeout) &&
        Result.MayHaveBeenSent)
      co_return plainReply(504, "another instance did not answer in time");
    if (Result.MayHaveBeenSent)
      co_return plainReply(
          502,
          "no usable answer from another instance; the request may have run");
    this->AvoidedUntil[Address] = Clock::now() + AvoidPeriod;
  }
  co_return std::nullopt;
}

asio::awaitable<std::optional<HttpMessage>>
StandbyForwarder::forwardLookup(HttpMessage Request) {
  removeHopByHopHeaders(Request.Headers);
  const GatewaySettings &Settings = this->State.Settings;
  for (const std::string &Address : this->State.Members.nearbyAddresses(
           Settings.Zone, Settings.Region, &MemberRecord::LookupAddress)) {
    HttpConnectionPool::Call Call;
    Call.Address = Address;
    Call.Request = Request;
    Call.ConnectDeadline = Call.Deadline = Clock::now() + LookupTimeout;
    auto Result = co_await this->Lookups.call(std::move(Call));
    this->reportMalformed(Result, Request, Address);
    if (!Result.Error && Result.Response.Status == 200) {
      removeHopByHopHeaders(Result.Response.Headers);
      co_return std::move(Result.Response);
    }
  }
  co_return std::nullopt;
}

} // namespace rr
