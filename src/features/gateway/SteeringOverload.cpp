#include "gateway/GatewayAttempt.h"
#include "gateway/SteeringInstance.h"
#include "logging/EventLog.h"

#include <algorithm>

namespace rr {

namespace {

/// Look-ups, probes and metrics are answered at once, so few are refused at the
/// same time. These connections are within the reserved descriptors.
constexpr std::size_t MaxOtherRefusals = 8;
/// Part of the connections that links opened by others may take. A region of
/// the design size has 165 instances.
constexpr std::size_t LinkDivisor = 8;
constexpr std::size_t MinInboundLinks = 32;
/// Look-ups, readiness checks and scrapes have no body to speak of.
constexpr std::size_t MaxControlBodyBytes = 64U << 10;
/// Part of the memory for unsent messages to other instances.
constexpr double LinkMemoryShare = 0.1;
constexpr double Mebibyte = 1 << 20;
/// Time between two log lines about refused callers.
constexpr Clock::duration RefusalLogPeriod = std::chrono::seconds(1);
/// The delay of the event loop is logged from this on, as often as that.
constexpr Clock::duration MinLoggedDelay = std::chrono::milliseconds(100);
constexpr Clock::duration DelayLogPeriod = std::chrono::seconds(1);

} // namespace

PeerLinks::Options SteeringInstance::linkOptions(const SteeringState &State) {
  const GatewaySettings &Settings = State.Settings;
  PeerLinks::Options Options{Settings.Name, Settings.Zone,
                             Settings.PeerAddress};
  Options.MaxInboundLinks =
      std::clamp(State.Connections->parts().Total / LinkDivisor,
                 MinInboundLinks, Options.MaxInboundLinks);
  Options.MaxQueuedBytes =
      std::min(Options.MaxQueuedBytes,
               std::size_t(Settings.MemoryMiB * Mebibyte * LinkMemoryShare));
  return Options;
}

void SteeringInstance::divideConnectionBudget() {
  const auto &Budget = this->State.Connections;
  HttpServerLimits Limits;
  Limits.MaxRefusals = Budget->parts().Refusals;
  this->CallerServer.setLimits(Limits);
  this->CallerServer.setBudget(Budget, ConnectionUse::Callers);
  Limits.MaxRefusals = MaxOtherRefusals;
  Limits.Message.MaxBodyBytes = MaxControlBodyBytes;
  Limits.Message.BodyBudget = this->State.BodyBytes;
  for (HttpServer *Server :
       {&this->ReadinessServer, &this->LookupServer, &this->MetricsServer}) {
    Server->setLimits(Limits);
    Server->setBudget(Budget, ConnectionUse::Other);
  }
  // Idle connections of look-ups must not keep callers out.
  this->CallerServer.setRoomMaker(
      [this] { return this->LookupServer.closeLongestIdle(); });
  this->RequestGateway.links().setBudget(Budget, ConnectionUse::Servers);
  this->Forwarder.setBudget(Budget);
}

void SteeringInstance::logConnectionBudget() const {
  const ConnectionBudget &Budget = *this->State.Connections;
  const GatewaySettings &Settings = this->State.Settings;
  logEvent(
      Event::ConnectionsDivided,
      {{"descriptors",
        std::to_string(availableDescriptors(Settings.Descriptors))},
       {"configured", std::to_string(Settings.Descriptors)},
       {"memory_mb", std::to_string(Settings.MemoryMiB)},
       {"total", std::to_string(Budget.parts().Total)},
       {"callers", std::to_string(Budget.guaranteed(ConnectionUse::Callers))},
       {"servers", std::to_string(Budget.guaranteed(ConnectionUse::Servers))},
       {"peers", std::to_string(Budget.guaranteed(ConnectionUse::Peers))},
       {"refusals", std::to_string(Budget.parts().Refusals)}});
}

void SteeringInstance::logRefusedCallers(Clock::time_point Now) {
  const CallerCounters &Current = this->CallerServer.counters();
  if (Now < this->NextRefusalLog ||
      (Current.Refused == this->LoggedCallers.Refused &&
       Current.Unanswered == this->LoggedCallers.Unanswered &&
       Current.Dropped == this->LoggedCallers.Dropped &&
       Current.ClosedIdle == this->LoggedCallers.ClosedIdle))
    return;
  const CallerCounters Before = std::exchange(this->LoggedCallers, Current);
  this->NextRefusalLog = Now + RefusalLogPeriod;
  const ConnectionBudget &Budget = *this->State.Connections;
  logEvent(
      Event::CallersRefused,
      {{"refused", std::to_string(Current.Refused - Before.Refused)},
       {"unanswered", std::to_string(Current.Unanswered - Before.Unanswered)},
       {"dropped", std::to_string(Current.Dropped - Before.Dropped)},
       {"closed_idle", std::to_string(Current.ClosedIdle - Before.ClosedIdle)},
       {"connections", std::to_string(this->CallerServer.connections())},
       {"limit", std::to_string(Budget.limit(ConnectionUse::Callers))},
       {"requests", std::to_string(this->CallerServer.activeRequests())},
       {"to_servers", std::to_string(Budget.used(ConnectionUse::Servers))}});
}

asio::awaitable<void> SteeringInstance::runLoopMonitor() {
  this->Delay = LoopDelay(Clock::now());
  while (!this->Stopped) {
    co_await sleepFor(this->Delay.nextTick() - Clock::now());
    const Clock::time_point Now = Clock::now();
    const Clock::duration Lateness = this->Delay.recordTick(Now);
    this->Counters.observe(Metric::SteeringLoopDelay, {}, Lateness);
    this->updateOverload(Now, Lateness);
    if (Lateness < MinLoggedDelay || Now < this->NextDelayLog)
      continue;
    this->NextDelayLog = Now + DelayLogPeriod;
    logEvent(
        Event::LoopDelayed,
        {{"delay_ms", millisecondText(Lateness)},
         {"connections", std::to_string(this->CallerServer.connections())},
         {"requests", std::to_string(this->CallerServer.activeRequests())}});
  }
}

void SteeringInstance::updateOverload(Clock::time_point Now,
                                      Clock::duration LoopLateness) {
  const ConnectionBudget &Budget = *this->State.Connections;
  const std::size_t Used = Budget.used(ConnectionUse::Callers);
  const std::size_t Limit = Budget.limit(ConnectionUse::Callers);
  const auto Since = this->Overload.Since;
  this->Overload = rr::updateOverload(
      this->Overload, {double(Used) / double(Limit), LoopLateness}, Now);
  if (Since.has_value() == this->Overload.Since.has_value())
    return;
  const bool Begun = this->Overload.Since.has_value();
  logEvent(Begun ? Event::OverloadBegun : Event::OverloadEnded,
           {{"connections", std::to_string(Used)},
            {"limit", std::to_string(Limit)},
            {"loop_delay_ms", millisecondText(LoopLateness)},
            {"ms", millisecondText(Now - Since.value_or(Now))},
            {"standby", std::to_string(this->State.Standby)}});
  // A standby evaluates the records as of its last read.
  if (!this->State.Standby)
    this->Members.advanceStoreTime(Now);
  this->State.Distressed.reset();
  if (Begun)
    this->State.Distressed = this->State.Members.storeTime();
  // A standby is in no look-up; its row will tell if it goes into service.
  if (this->State.Standby)
    return;
  const LoadNotice Notice = this->Members.makeLoadNotice();
  this->State.Members.apply(Notice);
  this->LoadSignal.announce(Notice);
  this->AnnounceTimer.cancel();
}

Clock::time_point SteeringInstance::arrivalTime() const {
  const Clock::time_point Now = Clock::now();
  return Now - this->Delay.delayAt(Now);
}

} // namespace rr
