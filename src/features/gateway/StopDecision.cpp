#include "gateway/StopDecision.h"

#include "gateway/SteeringState.h"

#include <algorithm>

namespace rr {

namespace {

/// Callers that looked up this instance before the stop use it until they have
/// a new list. Less than half of the stop time, so that long requests finish.
constexpr double AcceptFraction = 0.46;
/// Reserved between the last answer and the end of the stop time: the transfer
/// of the answer to the caller (100 ms between distant regions), the event loop
/// (up to 100 ms late when the machine is busy), and as much for a signal that
/// was handled late.
constexpr Clock::duration AnswerMargin = std::chrono::milliseconds(300);
/// Reserved for the end of the process: the last poll of the drain (50 ms) and
/// the log.
constexpr Clock::duration ExitMargin = std::chrono::milliseconds(100);
/// A refused upload is read on for this long, since closing a connection with
/// unread input can destroy the refusal on its way.
constexpr Clock::duration ReadMargin = std::chrono::milliseconds(500);
/// The margins together use at most this part of a short stop time.
constexpr double MaxMarginFraction = 0.2;
/// The most expensive requests of a route take several times the mean (up to
/// seven times in operation), which the request does not show.
constexpr double TailFactor = 8;
/// A request that may be repeated can be sent to another instance if it is
/// broken off; most take less than this multiple of the mean.
constexpr double RepeatableTailFactor = 3;
/// Slowest transfer to a caller that the stop waits for.
constexpr double AnswerBytesPerSecond = 1 << 20;

Clock::duration scaled(Clock::duration Time, double Factor) {
  return std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(Time) * Factor);
}

} // namespace

StopSchedule planStop(Clock::time_point Start, Clock::duration StopTime) {
  const auto Scale = std::min(
      1.0, std::chrono::duration<double>(scaled(StopTime, MaxMarginFraction)) /
               std::chrono::duration<double>(AnswerMargin + ReadMargin));
  const Clock::time_point KillAt = Start + StopTime;
  StopSchedule Plan;
  Plan.AcceptUntil = Start + scaled(StopTime, AcceptFraction);
  Plan.AnswerBy = KillAt - scaled(AnswerMargin, Scale);
  Plan.ReadUntil = Plan.AnswerBy - scaled(ReadMargin, Scale);
  Plan.ExitAt = KillAt - scaled(ExitMargin, Scale);
  return Plan;
}

Clock::duration timeNeeded(const StopQuery &Query) {
  const double Factor = Query.Repeatable ? RepeatableTailFactor : TailFactor;
  const Clock::duration Work =
      std::min(Query.TimeLimit, scaled(Query.ExpectedWork, Factor));
  return Work + std::chrono::duration_cast<Clock::duration>(
                    std::chrono::duration<double>(Query.AnswerBytes /
                                                  AnswerBytesPerSecond));
}

bool finishesBeforeStop(const StopQuery &Query) {
  return Query.AnswerBy == Clock::time_point::max() ||
         timeNeeded(Query) <= Query.AnswerBy - Query.Now;
}

bool finishesBeforeStop(const SteeringState &State, const SteeringRoute &Route,
                        const std::string &Service,
                        Clock::time_point TimeLimit) {
  if (!State.Leaving)
    return true;
  const ProcessingTimes::Estimate Expected =
      State.RequestProcessingTimes.estimateFor(Route, Service);
  StopQuery Query;
  Query.Now = Clock::now();
  Query.AnswerBy = State.StopsAt;
  Query.TimeLimit = TimeLimit - Query.Now;
  Query.ExpectedWork = std::max(Expected.Hit, Expected.Miss);
  Query.AnswerBytes = Expected.AnswerBytes;
  Query.Repeatable = isRepeatable(Route.Kind);
  return finishesBeforeStop(Query);
}

} // namespace rr
