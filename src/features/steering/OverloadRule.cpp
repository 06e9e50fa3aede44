#include "steering/OverloadRule.h"

namespace rr {

namespace {

/// Leaves a fifth of the connections for the callers that arrive until others
/// have learned of the overload and look-ups have changed.
constexpr double BeginCallerUse = 0.8;
constexpr double EndCallerUse = 0.6;
/// A noticeable part of the target latency of the fastest routes.
constexpr Clock::duration BeginLoopDelay = std::chrono::milliseconds(100);
constexpr Clock::duration EndLoopDelay = std::chrono::milliseconds(50);
/// A single long handler, or a process that was suspended, is not overload.
constexpr Clock::duration MinDelayTime = std::chrono::milliseconds(500);
/// Callers keep a look-up for some seconds, so a shorter calm says nothing
/// about the load that returns.
constexpr Clock::duration MinCalmTime = std::chrono::seconds(5);

/// \p Since, or \p Now if the condition has just begun; empty without it.
std::optional<Clock::time_point> beginOf(bool Condition,
                                         std::optional<Clock::time_point> Since,
                                         Clock::time_point Now) {
  return Condition ? Since.value_or(Now) : std::optional<Clock::time_point>();
}

} // namespace

OverloadState updateOverload(const OverloadState &State,
                             const OverloadSample &Sample,
                             Clock::time_point Now) {
  OverloadState Result = State;
  Result.DelayHighSince =
      beginOf(Sample.LoopDelay > BeginLoopDelay, State.DelayHighSince, Now);
  Result.CalmSince = beginOf(Sample.CallerUse < EndCallerUse &&
                                 Sample.LoopDelay < EndLoopDelay,
                             State.CalmSince, Now);
  if (State.Since) {
    if (Result.CalmSince && Now - *Result.CalmSince >= MinCalmTime)
      Result.Since.reset();
    return Result;
  }
  const bool Delayed =
      Result.DelayHighSince && Now - *Result.DelayHighSince >= MinDelayTime;
  if (Sample.CallerUse > BeginCallerUse || Delayed)
    Result.Since = Now;
  return Result;
}

} // namespace rr
