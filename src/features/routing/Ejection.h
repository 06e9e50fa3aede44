#ifndef REDWINGRACK_ROUTING_EJECTION_H
#define REDWINGRACK_ROUTING_EJECTION_H

#include "base/Clock.h"
#include "routing/RequestOutcome.h"

#include <chrono>
#include <cstdint>

namespace rr {

/// Health of one server from the outcomes of its requests. An ejected server
/// gets no requests but single trials. A suspect server would be ejected, but
/// the bound of its service is reached; it is used after all others.
class Ejection {
public:
  enum class Health { Healthy, Suspect, Ejected };

  /// Consecutive failures that make a server faulty.
  static constexpr std::uint32_t MaxConsecutiveFailures = 5;
  static constexpr std::chrono::seconds FirstPause{1};
  static constexpr std::chrono::seconds LongestPause{30};

  /// Notes an outcome. Returns whether a trial brought the server back.
  bool record(RequestOutcome Outcome, bool WasTrial, Clock::time_point Now);
  /// Whether the recent outcomes call for an ejection. \p PeerFailureRate is
  /// that of the other servers of the version.
  bool isFaulty(double PeerFailureRate, Clock::time_point Now) const;
  /// Acts on isFaulty(): ejects when \p MayEject, else marks as suspect.
  void setFaulty(bool MayEject, Clock::time_point Now);
  void setHealthy();

  Health health() const { return this->State; }
  /// Whether one trial may start. startTrial() must follow.
  bool trialDue(Clock::time_point Now) const;
  /// Whether a trial has been due for so long that any request may serve.
  bool trialOverdue(Clock::time_point Now) const;
  void startTrial() { this->TrialRunning = true; }

  /// Share of failures among recent requests; 0 without requests.
  double failureRate() const;

private:
  void count(bool Failed, Clock::time_point Now);
  double decay(Clock::time_point Now) const;
  void eject(Clock::time_point Now);
  bool endTrial(RequestOutcome Outcome, Clock::time_point Now);

  Health State = Health::Healthy;
  bool TrialRunning = false;
  std::uint32_t Consecutive = 0;
  double Requests = 0;
  double Failures = 0;
  Clock::time_point CountedAt{};
  Clock::duration Pause = FirstPause;
  Clock::time_point TrialAt{};
  Clock::time_point ReturnedAt{};
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_EJECTION_H
