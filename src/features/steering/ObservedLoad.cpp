#include "steering/ObservedLoad.h"

#include <algorithm>
#include <cmath>

namespace rr {

namespace {

/// Half-life of the other instances' part of a reported load. A server with a
/// queue answers rarely, so a faster decay would hide the queue.
constexpr Clock::duration LoadHalfLife = std::chrono::milliseconds(2500);
/// A slow or failing server is tried again after a few half-lives.
constexpr Clock::duration SlownessHalfLife = std::chrono::seconds(4);
constexpr Clock::duration FailureHalfLife = std::chrono::seconds(3);
/// Weight of the newest observation.
constexpr double SlownessGain = 0.2;
constexpr double FailureGain = 0.15;
constexpr Clock::duration FirstRetryDelay = std::chrono::milliseconds(500);
constexpr int MaxRetryDelayDoublings = 3;

double decay(Clock::time_point Since, Clock::time_point Now,
             Clock::duration HalfLife) {
  const double Age = double(std::max((Now - Since).count(), Clock::rep(0)));
  return std::exp2(-Age / double(HalfLife.count()));
}

} // namespace

double estimatedLoad(const BackendState &Server, Clock::time_point Now) {
  const int Reported = Server.Load.Running + Server.Load.Waiting;
  const double Others = std::max(0, Reported - Server.InFlightAtLoad) *
                        decay(Server.LoadReportedAt, Now, LoadHalfLife);
  return Server.InFlight + Others;
}

void noteLoad(BackendState &Server, const LoadSample &Sample,
              Clock::time_point Now) {
  Server.Load = Sample;
  Server.LoadReportedAt = Now;
  Server.InFlightAtLoad = Server.InFlight;
}

void assumeFull(BackendState &Server, Clock::time_point Now) {
  LoadSample Sample;
  Sample.Running = Server.Record.Slots;
  Sample.Waiting = Server.Record.Slots + Server.InFlight;
  noteLoad(Server, Sample, Now);
}

bool isCold(const BackendState &Server, Clock::time_point Now) {
  return Server.MaybeCold || Now < Server.ColdUntil;
}

double currentSlowness(const BackendState &Server, Clock::time_point Now) {
  return 1 + (Server.Slowness - 1) *
                 decay(Server.SlownessAt, Now, SlownessHalfLife);
}

void noteSlowness(BackendState &Server, double Ratio, Clock::time_point Now) {
  const double Current = currentSlowness(Server, Now);
  const double Bounded = std::clamp(Ratio, 0.3, 20.0);
  Server.Slowness = Current + SlownessGain * (Bounded - Current);
  Server.SlownessAt = Now;
}

double currentFailureShare(const BackendState &Server, Clock::time_point Now) {
  return Server.FailureShare * decay(Server.FailureAt, Now, FailureHalfLife);
}

void noteAttempt(BackendState &Server, bool Failed, Clock::time_point Now) {
  const double Current = currentFailureShare(Server, Now);
  Server.FailureShare = Current + FailureGain * ((Failed ? 1 : 0) - Current);
  Server.FailureAt = Now;
}

void noteUnreachable(BackendState &Server, Clock::time_point Now) {
  const int Doublings =
      std::min(Server.ConsecutiveUnreachable, MaxRetryDelayDoublings);
  ++Server.ConsecutiveUnreachable;
  Server.RetryAt = Now + FirstRetryDelay * (1 << Doublings);
  // The server may have restarted and be cold.
  Server.MaybeCold = true;
}

void noteReachable(BackendState &Server) {
  Server.ConsecutiveUnreachable = 0;
  Server.RetryAt = {};
}

} // namespace rr
