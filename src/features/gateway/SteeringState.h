#ifndef REDWINGRACK_GATEWAY_STEERINGSTATE_H
#define REDWINGRACK_GATEWAY_STEERINGSTATE_H

#include "base/Clock.h"
#include "gateway/GatewaySettings.h"
#include "http1/ByteBudget.h"
#include "retry/RetryBudget.h"
#include "steering/BackendPool.h"
#include "steering/ColdServerLimiter.h"
#include "steering/MemberView.h"
#include "steering/ProcessingTimes.h"
#include "steering/QuotaLimiter.h"
#include "steering/ReturningCallerDetector.h"
#include "steering/RoundTripTimes.h"
#include "steering/ShareEligibility.h"
#include "steering/ShiftLimiter.h"
#include "steering/SplitChooser.h"
#include "steering/SteeringConfig.h"
#include "steering/VersionSteering.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace rr {

/// Bytes of bodies for a process that may use \p Memory MiB. Text grows by
/// doubling and is copied once when it is written, so the process needs
/// several times as much.
inline std::shared_ptr<ByteBudget> bodyBudget(double Memory) {
  constexpr double BodyPart = 1.0 / 6;
  constexpr double Mebibyte = 1 << 20;
  return std::make_shared<ByteBudget>(
      static_cast<std::size_t>(Memory * Mebibyte * BodyPart));
}

/// All that one instance knows and decides with. Used from one thread.
struct SteeringState {
  explicit SteeringState(const GatewaySettings &Settings)
      : Settings(Settings), BodyBytes(bodyBudget(Settings.Memory)),
        Backends(Settings.Zones), Members(Settings.Name),
        Network(Settings.Zone, Settings.Region),
        Shifts(Settings.Bounds.MostShift) {}

  GatewaySettings Settings;
  /// For the bodies of all requests and answers.
  std::shared_ptr<ByteBudget> BodyBytes;
  /// In force; null before any is known.
  std::shared_ptr<const SteeringConfig> Config;
  /// The operator's orders were known in full at this time on bootTime().
  Clock::time_point OrdersAsOf{};
  /// Requests with a key are served before this time on bootTime().
  Clock::time_point KeysValidUntil{};
  BackendPool Backends;
  /// The servers' entries were read at this time.
  Clock::time_point BackendsReadAt{};
  MemberView Members;
  /// Of this instance in the sums that all share; on bootTime().
  ShareEligibility Tenure;
  RoundTripTimes Network;
  ProcessingTimes Work;
  ShiftLimiter Shifts;
  SplitChooser Splits;
  QuotaLimiter Quotas;
  ColdServerLimiter ColdServers;
  ReturningCallerDetector Returns;
  /// Zones that get nothing.
  std::set<std::string> Evacuated;
  /// By service.
  std::map<std::string, VersionSteering> Versions;
  std::map<std::string, RetryBudget> Retries;
  /// Last time that a server was lost, left or failed.
  Clock::time_point LastLoss{};
  /// The tables of backends and members were read at least once.
  bool BackendsKnown = false;
  bool MembersKnown = false;
  /// Callers are not sent here for now.
  bool Standby = false;
  /// Known to all instances and to nobody else; empty before it is read.
  std::string PeerSecret;
  /// A stop was asked for.
  bool Leaving = false;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_STEERINGSTATE_H
