#ifndef REDWINGRACK_GATEWAY_STOPDECISION_H
#define REDWINGRACK_GATEWAY_STOPDECISION_H

#include "base/Clock.h"

#include <string>

namespace rr {

struct SteeringRoute;
struct SteeringState;

/// Times of a planned stop. The process is killed at KillAt at the latest.
struct StopSchedule {
  /// New connections are accepted until then.
  Clock::time_point AcceptUntil;
  /// Requests that are still being read are refused then.
  Clock::time_point ReadUntil;
  /// Every request has its answer by then.
  Clock::time_point AnswerBy;
  /// The process ends itself then.
  Clock::time_point ExitAt;
};

/// Schedule of a stop that begins at \p Start and has \p StopTime until the
/// process is killed.
StopSchedule planStop(Clock::time_point Start, Clock::duration StopTime);

/// What is known about a request before it is passed on during a stop.
struct StopQuery {
  Clock::time_point Now;
  /// StopSchedule::AnswerBy; Clock::time_point::max() without a stop.
  Clock::time_point AnswerBy = Clock::time_point::max();
  /// Until the route's timeout or the caller's deadline, whichever is first.
  Clock::duration TimeLimit;
  /// Mean work on an object that the server does not have cached.
  Clock::duration ExpectedWork;
  /// Expected size of the answer.
  double AnswerBytes = 0;
  /// The request may run more than once.
  bool Repeatable = false;
};

/// Longest time that the request is expected to need, including the transfer of
/// its answer. At its time limit a request is answered in any case, so it never
/// needs longer to run.
Clock::duration timeNeeded(const StopQuery &Query);

/// Whether a request that is passed on now is done before the stop ends. A
/// request for which this is false must be refused, since its server may still
/// be at work when the process ends.
bool finishesBeforeStop(const StopQuery &Query);

/// The same for a request of \p Route that is passed on to \p Service now and
/// ends at \p TimeLimit at the latest.
bool finishesBeforeStop(const SteeringState &State, const SteeringRoute &Route,
                        const std::string &Service,
                        Clock::time_point TimeLimit);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_STOPDECISION_H
