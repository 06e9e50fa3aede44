#ifndef REDWINGRACK_GATEWAY_STEERINGSTATE_H
#define REDWINGRACK_GATEWAY_STEERINGSTATE_H

#include "base/Clock.h"
#include "base/Random.h"
#include "gateway/GatewaySettings.h"
#include "http1/ByteBudget.h"
#include "http1/ConnectionBudget.h"
#include "quarantine/RecentAnswers.h"
#include "quarantine/SharedSuspects.h"
#include "retry/RetryBudget.h"
#include "steering/BackendPool.h"
#include "steering/ColdServerLimiter.h"
#include "steering/CostPlacement.h"
#include "steering/MemberView.h"
#include "steering/NewestConfiguration.h"
#include "steering/ProcessingTimes.h"
#include "steering/QuotaLimiter.h"
#include "steering/ReturningCallerDetector.h"
#include "steering/RoundTripTimes.h"
#include "steering/ServerRateLimiter.h"
#include "steering/ShareEligibility.h"
#include "steering/ShiftLimiter.h"
#include "steering/SplitChooser.h"
#include "steering/SteeringConfig.h"
#include "steering/VersionSteering.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace rr {

/// Budget for message bodies of a process with a memory limit of \p MemoryMiB.
/// Buffers grow by doubling and are copied once when they are written, so the
/// process needs several times the size of the bodies.
inline std::shared_ptr<ByteBudget> bodyBudget(double MemoryMiB) {
  constexpr double BodyMemoryShare = 1.0 / 6;
  constexpr double Mebibyte = 1 << 20;
  return std::make_shared<ByteBudget>(
      static_cast<std::size_t>(MemoryMiB * Mebibyte * BodyMemoryShare));
}

/// State that one instance uses for its decisions. Not thread-safe.
struct SteeringState {
  explicit SteeringState(const GatewaySettings &Settings)
      : Settings(Settings), BodyBytes(bodyBudget(Settings.MemoryMiB)),
        Connections(std::make_shared<ConnectionBudget>(divideConnections(
            availableDescriptors(Settings.Descriptors), Settings.MemoryMiB))),
        Backends(Settings.RegionByZone), Members(Settings.Name),
        Network(Settings.Zone, Settings.Region),
        Shifts(Settings.Bounds.MaxShiftShare), LimitedServers(Settings.Region) {
  }

  GatewaySettings Settings;
  /// Budget for the bodies of all requests and answers.
  std::shared_ptr<ByteBudget> BodyBytes;
  /// Budget for the connections of the process.
  std::shared_ptr<ConnectionBudget> Connections;
  /// Configuration in force; null before one is known.
  std::shared_ptr<const SteeringConfig> Config;
  NewestConfiguration NewestSeen;
  /// Time on bootTime() up to which all orders of the operator are known.
  Clock::time_point OrdersReadAt{};
  /// Time on bootTime() until which requests with a key are served.
  Clock::time_point KeysValidUntil{};
  BackendPool Backends;
  /// Time on bootTime() up to which all changes of the backend table are known.
  Clock::time_point BackendsCurrentUntil{};
  MemberView Members;
  /// Whether this instance takes part in the sums that the fleet shares, such
  /// as quotas; on bootTime().
  ShareEligibility QuotaParticipation;
  RoundTripTimes Network;
  ProcessingTimes RequestProcessingTimes;
  CostPlacement ByCost{randomSeed()};
  ShiftLimiter Shifts;
  SplitChooser Splits;
  QuotaLimiter Quotas;
  ColdServerLimiter ColdServers;
  ServerRateLimiter LimitedServers;
  ReturningCallerDetector RetryingCallers;
  /// Requests that were lost in crashes of servers, at any instance.
  SharedSuspects Suspects;
  RecentAnswers Answers;
  /// Availability zones that get no requests.
  std::set<std::string> EvacuatedZones;
  /// By service.
  std::map<std::string, VersionSteering> Versions;
  /// By service.
  std::map<std::string, RetryBudget> Retries;
  /// Last time that a server failed, was removed or began to drain, or that an
  /// evacuation began or ended.
  Clock::time_point LastServerLoss{};
  /// The tables of backends and members have been read at least once.
  bool BackendsKnown = false;
  bool MembersKnown = false;
  /// This instance is a standby: callers are not sent to it.
  bool Standby = false;
  /// Store clock time since which this instance is overloaded.
  std::optional<Clock::duration> Distressed;
  /// Time on bootTime() at which this instance last left standby.
  Clock::time_point InServiceSince{};
  /// Shared secret of the links between instances; empty before it is read.
  std::string PeerSecret;
  /// A stop was requested.
  bool Leaving = false;
  /// Time by which all requests must be answered because of the stop.
  Clock::time_point StopsAt = Clock::time_point::max();
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_STEERINGSTATE_H
