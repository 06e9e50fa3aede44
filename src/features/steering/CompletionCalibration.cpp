#include "steering/CompletionCalibration.h"

#include <algorithm>

namespace rr {

std::optional<int> completionDecile(const Placement &Decision,
                                    Clock::duration RoundTrip,
                                    Clock::duration Time) {
  if (!Decision.Cost)
    return std::nullopt;
  RequestCost Cost = *Decision.Cost;
  const Seconds Usual = meanWork(Cost);
  if (!(Usual.count() > 0))
    return std::nullopt;
  // The cost is that at usual speed, the expected time that at the machine's.
  const Seconds Work =
      Decision.ExpectedTime - Decision.ExpectedWait - RoundTrip;
  const double Slowness = std::max(0.1, Work / Usual);
  Cost.Hit *= Slowness;
  Cost.Miss *= Slowness;
  const double Share =
      completionShare(Cost, Decision.ExpectedWait, Time - RoundTrip);
  return std::min(CompletionDeciles - 1, int(Share * CompletionDeciles));
}

} // namespace rr
