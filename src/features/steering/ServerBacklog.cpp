#include "steering/ServerBacklog.h"

#include <algorithm>
#include <cmath>

namespace rr {

namespace {

constexpr std::size_t MaxRunning = 64;
/// Half-life of the reported speed; a slow phase lasts about 0.6 s.
constexpr Clock::duration FactorHalfLife = std::chrono::milliseconds(300);
/// Mean rest of a slow phase: the half-life / ln 2.
constexpr Seconds SlowPhase{0.433};
/// Weight of one report in the smoothed load; a single one is as noisy as it
/// is large.
constexpr double MeanGain = 0.25;
/// The smoothed load of a server that no report reaches fades to that of the
/// service, so that no server is left out for good.
constexpr Clock::duration MeanHalfLife = std::chrono::seconds(8);
/// The certainty of a report halves while the server works off this part of
/// the requests that it reported.
constexpr double CertainPart = 0.7;
constexpr Seconds MinCertainty{0.02};
constexpr double SlownessGain = 0.08;
constexpr Clock::duration SlownessHalfLife = std::chrono::seconds(6);
constexpr double MinWorkRatio = 0.5;
constexpr double MaxWorkRatio = 3;
/// Waiting requests of a server that refuses.
constexpr int FullQueueInSlots = 3;
/// Least part of a slot that is counted as free of heavy requests.
constexpr double MinFreeSlots = 0.5;

double decay(Clock::time_point Since, Clock::time_point Now, Seconds HalfLife) {
  const Seconds Age = Now - Since;
  return std::exp2(-std::max(0.0, Age.count()) / HalfLife.count());
}

/// Expected excess of a Poisson distributed number over \p Limit.
double poissonExcess(double Mean, int Limit) {
  double Result = Mean - Limit;
  if (Limit <= 0)
    return Result;
  double Share = std::exp(-Mean);
  for (int Count = 0; Count < Limit; ++Count) {
    Result += (Limit - Count) * Share;
    Share *= Mean / (Count + 1);
  }
  return std::max(0.0, Result);
}

double usualOthers(const ServerBacklog &Backlog, int Slots,
                   const UsualLoad &Usual, Clock::time_point Now) {
  const double Service = Usual.OthersPerSlot * Slots;
  if (!Backlog.Known)
    return Service;
  return Service + (Backlog.MeanOthers - Service) *
                       decay(Backlog.MeanAt, Now, MeanHalfLife);
}

/// Weight of the last report.
double certainty(const ServerBacklog &Backlog, int Slots,
                 const UsualLoad &Usual, Clock::time_point Now) {
  if (!Backlog.Known)
    return 0;
  const double Rounds = std::max(1.0, Backlog.Others / Slots);
  return decay(Backlog.ReportedAt, Now,
               std::max(MinCertainty, Usual.Work * CertainPart * Rounds));
}

} // namespace

std::uint64_t addRunning(ServerBacklog &Backlog, RunningRequest Request) {
  if (Backlog.Own.size() >= MaxRunning)
    Backlog.Own.erase(Backlog.Own.begin());
  Request.Id = Backlog.NextId++;
  Backlog.Own.push_back(Request);
  return Request.Id;
}

void removeRunning(ServerBacklog &Backlog, std::uint64_t Id) {
  std::erase_if(Backlog.Own, [&](const RunningRequest &Request) {
    return Request.Id == Id;
  });
}

void noteReport(ServerBacklog &Backlog, const LoadSample &Sample,
                int OwnRequests, Clock::duration RoundTrip,
                Clock::time_point Now) {
  const auto SentSince = std::count_if(Backlog.Own.begin(), Backlog.Own.end(),
                                       [&](const RunningRequest &Item) {
                                         return Item.SentAt + RoundTrip > Now;
                                       });
  const int Included = std::max(0, OwnRequests - int(SentSince));
  Backlog.Others = std::max(0, Sample.Running + Sample.Waiting - Included);
  Backlog.ReportedAt = Now;
  // One report does not say that a queue is lasting.
  if (!Backlog.Known)
    Backlog.MeanOthers = std::min<double>(Backlog.Others, Sample.Slots);
  else
    Backlog.MeanOthers += MeanGain * (Backlog.Others - Backlog.MeanOthers);
  Backlog.MeanAt = Now;
  Backlog.Known = true;
  if (Sample.WorkFactor) {
    Backlog.WorkFactor = *Sample.WorkFactor;
    Backlog.FactorAt = Now;
  }
}

void noteFull(ServerBacklog &Backlog, int Slots, Clock::time_point Now) {
  noteReport(Backlog, {Slots, FullQueueInSlots * Slots, Slots}, 0,
             Clock::duration(0), Now);
}

void noteWorkRatio(ServerBacklog &Backlog, double Ratio,
                   Clock::time_point Now) {
  const double Current = lastingSlowness(Backlog, Now);
  Backlog.Slowness =
      Current +
      SlownessGain *
          (std::clamp(Ratio * Current, MinWorkRatio, MaxWorkRatio) - Current);
  Backlog.SlownessAt = Now;
}

double lastingSlowness(const ServerBacklog &Backlog, Clock::time_point Now) {
  if (Backlog.Slowness == 1)
    return 1;
  return 1 + (Backlog.Slowness - 1) *
                 decay(Backlog.SlownessAt, Now, SlownessHalfLife);
}

double currentWorkFactor(const ServerBacklog &Backlog, Clock::time_point Now) {
  if (Backlog.WorkFactor == 1)
    return 1;
  return 1 + (Backlog.WorkFactor - 1) *
                 decay(Backlog.FactorAt, Now, FactorHalfLife);
}

Seconds slowedWork(Seconds Work, double Factor) {
  // During a slow phase of length p, p / Factor of the work is done.
  if (!(Factor > 1))
    return Work * Factor;
  return Work + std::min((Factor - 1) * Work, (1 - 1 / Factor) * SlowPhase);
}

Seconds usualWork(Seconds Observed, double Factor) {
  if (!(Factor > 1))
    return Observed / Factor;
  return Observed - (1 - 1 / Factor) * std::min(Observed, SlowPhase);
}

BacklogEstimate estimateBacklog(const ServerBacklog &Backlog, int Slots,
                                int OwnRequests, const UsualLoad &Usual,
                                Clock::time_point Now) {
  const double Mean = usualOthers(Backlog, Slots, Usual, Now);
  const double Certain = certainty(Backlog, Slots, Usual, Now);
  BacklogEstimate Result;
  Result.Others = Mean + Certain * (Backlog.Others - Mean);
  const int FreeForOthers = Slots - 1 - OwnRequests;
  double Excess = Certain * std::max(0.0, Backlog.Others - FreeForOthers);
  if (Certain < 1)
    Excess += (1 - Certain) * poissonExcess(Mean, FreeForOthers);
  if (!(Excess > 0))
    return Result;
  // Slots that heavy requests hold do not work off the queue.
  double Held = 0;
  Seconds FirstFree = Seconds::max();
  for (const RunningRequest &Request : Backlog.Own) {
    const RemainingWork Left =
        remainingWork(Request.Cost, Now - Request.StartsAt);
    Held += Left.HeavyShare * std::min(1.0, Left.Mean / (2 * Usual.Work));
    FirstFree = std::min(FirstFree, Left.Mean);
  }
  const double Free = std::max(MinFreeSlots, Slots - Held);
  Result.Wait = Excess * Usual.Work / Free;
  if (Held > Slots - MinFreeSlots)
    Result.Wait = std::max(Result.Wait, FirstFree);
  return Result;
}

} // namespace rr
