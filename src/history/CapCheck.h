#ifndef REDWINGRACK_HISTORY_CAPCHECK_H
#define REDWINGRACK_HISTORY_CAPCHECK_H

#include "history/CapMeter.h"
#include "history/Effect.h"
#include "history/Timeline.h"
#include "history/Violation.h"

#include <functional>
#include <vector>

namespace rr::history {

/// What a cap applies to, and what counts as moved under it.
struct CapScope {
  Promise Broken;
  std::function<bool(const CallerSent &)> Applies;
  std::function<bool(const ServerBegan &)> Moves;
};

/// Reports every moved request that exceeds the caps in \p Settings. \p T has
/// At, InForce, Cap and Over. Requests before the first setting or while the
/// last one is over are not counted as moved.
template <typename T>
std::vector<Violation> checkCap(const Timeline &Recorded,
                                const std::vector<const T *> &Settings,
                                const CapScope &Scope) {
  std::vector<Violation> Found;
  const std::vector<Effect<T>> Effects = effectsOf(Settings);
  CapMeter Meter;
  for (const Event &Item : Recorded.events()) {
    const Clock::time_point Now = timeOf(Item);
    const Effect<T> *Loosest = nullptr;
    for (const Effect<T> &Candidate : Effects)
      if (Candidate.covers(Now) &&
          (!Loosest || Candidate.Setting->Over ||
           (!Loosest->Setting->Over &&
            Candidate.Setting->Cap > Loosest->Setting->Cap)))
        Loosest = &Candidate;
    const bool Bounded = Loosest && !Loosest->Setting->Over;
    Meter.setCap(Bounded ? Loosest->Setting->Cap : 0);
    if (const auto *Sent = std::get_if<CallerSent>(&Item)) {
      if (Scope.Applies(*Sent))
        Meter.sent(Sent->RequestId);
    } else if (const auto *Answered = std::get_if<CallerAnswered>(&Item)) {
      Meter.ended(Answered->RequestId);
    } else if (const auto *Began = std::get_if<ServerBegan>(&Item)) {
      const RequestTrace &Trace = Recorded.request(Began->RequestId);
      if (!Bounded || Trace.Sent.empty() ||
          !Scope.Applies(*Trace.Sent.front()) || !Scope.Moves(*Began))
        continue;
      Meter.moved(Began->RequestId);
      if (Meter.isExceeded())
        Found.push_back(
            {Scope.Broken,
             Now,
             "at most " + std::to_string(Meter.allowance()) + " requests moved",
             std::to_string(Meter.movedCount()),
             {*Loosest->Setting, *Began}});
    }
  }
  return Found;
}

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_CAPCHECK_H
