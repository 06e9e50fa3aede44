#include "steering/ServiceLoad.h"

#include <algorithm>
#include <cmath>

namespace rr {

namespace {

/// Load by slot that is assumed without reports.
constexpr double DefaultOthersPerSlot = 0.4;
/// An instance gets a few reports a second.
constexpr double LoadGain = 0.05;
constexpr double FirstGain = 0.3;
constexpr double WorkGain = 0.02;
/// Without reports the load fades to the default. Requests are refused on the
/// strength of this value, so it must not last when it stops the reports.
constexpr Clock::duration LoadHalfLife = std::chrono::seconds(3);
/// Several reports of each server that an instance uses.
constexpr int MaxReportsWithoutFactor = 64;

double decay(const ServiceLoad &Load, Clock::time_point Now) {
  const double Age = std::max(0.0, double((Now - Load.ReportedAt).count())) /
                     double(LoadHalfLife.count());
  return std::exp2(-Age);
}

double currentOthers(const ServiceLoad &Load, Clock::time_point Now) {
  if (!Load.Known)
    return DefaultOthersPerSlot;
  return DefaultOthersPerSlot +
         (Load.OthersPerSlot - DefaultOthersPerSlot) * decay(Load, Now);
}

} // namespace

void noteServiceReport(ServiceLoad &Load, const LoadSample &Sample,
                       double Others, int Slots, Clock::time_point Now) {
  const double Reported = Others / std::max(1, Slots);
  // After a pause the report counts for as much as the value has faded.
  // Fading towards the default as well would hide a load that few reports show.
  const double Gain =
      Load.Known ? std::max(LoadGain, 1 - decay(Load, Now)) : FirstGain;
  const double Before = Load.Known ? Load.OthersPerSlot : DefaultOthersPerSlot;
  Load.OthersPerSlot = Before + Gain * (Reported - Before);
  Load.ReportedAt = Now;
  Load.Known = true;
  if (Sample.WorkFactor) {
    Load.HadFactor = true;
    Load.ReportsWithoutFactor = 0;
  } else {
    Load.ReportsWithoutFactor =
        std::min(Load.ReportsWithoutFactor + 1, MaxReportsWithoutFactor);
  }
}

void noteServiceWork(ServiceLoad &Load, Seconds Work) {
  if (!(Load.Work.count() > 0))
    Load.Work = Work;
  else
    Load.Work += WorkGain * (Work - Load.Work);
}

bool reportsWorkFactor(const ServiceLoad &Load) {
  return Load.HadFactor && Load.ReportsWithoutFactor < MaxReportsWithoutFactor;
}

UsualLoad usualLoad(const ServiceLoad &Load, Seconds Expected,
                    Clock::time_point Now) {
  return {Load.Work.count() > 0 ? Load.Work : Expected,
          currentOthers(Load, Now)};
}

} // namespace rr
