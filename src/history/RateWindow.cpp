#include "history/RateWindow.h"

#include "history/PrefixMaximum.h"

#include <algorithm>

namespace rr::history {

std::optional<RateWindow> findExcess(std::vector<Admission> Admissions,
                                     const RateBudget &Budget, double Burst) {
  // Allowances of long histories are off by less than this.
  constexpr double Rounding = 1e-6;
  // The worst window begins at the earliest moment of one admission and ends at
  // the latest of another. For a fixed end, the excess of a window is its
  // admissions plus the budget up to its begin, minus a constant, so that one
  // maximum over all begins finds the worst.
  std::vector<Clock::time_point> Begins;
  Begins.reserve(Admissions.size());
  for (const Admission &Item : Admissions)
    Begins.push_back(Item.Earliest);
  std::ranges::sort(Begins);
  Begins.erase(std::unique(Begins.begin(), Begins.end()), Begins.end());

  std::vector<double> Values;
  Values.reserve(Begins.size());
  for (const Clock::time_point Begin : Begins)
    Values.push_back(Budget.upTo(Begin));
  PrefixMaximum Excess(Values);

  std::ranges::sort(Admissions, {}, &Admission::Latest);
  std::optional<RateWindow> Worst;
  double WorstExcess = Rounding;
  std::size_t Usable = 0;
  for (const Admission &Item : Admissions) {
    const auto Position = std::ranges::lower_bound(Begins, Item.Earliest);
    Excess.addToPrefix(std::size_t(Position - Begins.begin()) + 1, 1.0);
    while (Usable < Begins.size() && Begins[Usable] <= Item.Latest)
      ++Usable;
    const auto [Value, Index] = Excess.maximumOfPrefix(Usable);
    const double Over = Value - Budget.upTo(Item.Latest) - Burst;
    if (Over <= WorstExcess)
      continue;
    WorstExcess = Over;
    Worst = RateWindow{Begins[Index], Item.Latest, 0, 0};
  }
  if (!Worst)
    return Worst;
  Worst->Allowed = Budget.between(Worst->Begin, Worst->End) + Burst;
  for (const Admission &Item : Admissions)
    if (Worst->Begin <= Item.Earliest && Item.Latest <= Worst->End)
      ++Worst->Admitted;
  return Worst;
}

} // namespace rr::history
