#include "steering/RequestCost.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace rr {

namespace {

/// A case is ruled out gradually while the request has run for 0.8 to 1.4 times
/// its mean; with a spread of 15% nearly all requests end in this range.
constexpr double FirstEnd = 0.8;
constexpr double LastEnd = 1.4;
/// Least work left in a case that is not ruled out, relative to its mean.
constexpr double MinLeft = 0.1;
/// Ratio of the logistic scale to the standard deviation: sqrt(3) / pi.
constexpr double LogisticScale = 0.5513;
constexpr double MinSpread = 0.02;
/// Least mean wait of the requests that wait, relative to the mean work.
constexpr double WaitPart = 0.25;

struct Case {
  double Mean;
  double Share;
  bool Heavy;
};

std::array<Case, 4> casesOf(const RequestCost &Cost) {
  const double Usual = 1 - Cost.HeavyShare;
  const double MissShare = 1 - Cost.HitShare;
  const double Hit = Cost.Hit.count();
  const double Miss = Cost.Miss.count();
  return {{{Hit, Cost.HitShare * Usual, false},
           {Miss, MissShare * Usual, false},
           {Hit * Cost.HeavyFactor, Cost.HitShare * Cost.HeavyShare, true},
           {Miss * Cost.HeavyFactor, MissShare * Cost.HeavyShare, true}}};
}

/// Share of requests with a mean work of \p Mean that are done within \p Time
/// after a wait that is about as uncertain as it is long.
double shareWithin(double Mean, double Spread, double Wait, double Time) {
  const double Total = Mean + Wait;
  if (!(Total > 0))
    return 1;
  const double Relative =
      std::max(MinSpread, std::hypot(Spread * Mean, Wait) / Total);
  return 1 /
         (1 + std::exp(-std::log(Time / Total) / (LogisticScale * Relative)));
}

} // namespace

Seconds meanWork(const RequestCost &Cost) {
  const Seconds Usual = Cost.Miss + Cost.HitShare * (Cost.Hit - Cost.Miss);
  return Usual * (1 + Cost.HeavyShare * (Cost.HeavyFactor - 1));
}

RemainingWork remainingWork(const RequestCost &Cost, Seconds Worked) {
  const double Age = std::max(0.0, Worked.count());
  double Total = 0;
  double Heavy = 0;
  double Left = 0;
  for (const Case &Item : casesOf(Cost)) {
    if (!(Item.Mean > 0))
      continue;
    const double Ended =
        std::clamp((Age / Item.Mean - FirstEnd) / (LastEnd - FirstEnd), 0., 1.);
    const double Weight = Item.Share * (1 - Ended);
    Total += Weight;
    Heavy += Item.Heavy ? Weight : 0;
    Left += Weight * std::max(Item.Mean - Age, MinLeft * Item.Mean);
  }
  // No case explains the age. With a heavy tail the work that is left grows
  // with the age.
  if (!(Total > 0))
    return {Seconds(Age), 1};
  return {Seconds(Left / Total), Heavy / Total};
}

double completionShare(const RequestCost &Cost, Seconds Wait, Seconds Time) {
  if (!(Time.count() > 0))
    return 0;
  // Most requests do not wait, and the others for longer than the mean: about
  // until one of a few slots is free.
  const Seconds Longer = Wait + WaitPart * meanWork(Cost);
  const double Waiting = Wait.count() > 0 ? Wait / Longer : 0;
  double Result = 0;
  for (const Case &Item : casesOf(Cost))
    Result +=
        Item.Share *
        ((1 - Waiting) * shareWithin(Item.Mean, Cost.Spread, 0, Time.count()) +
         Waiting *
             shareWithin(Item.Mean, Cost.Spread, Longer.count(), Time.count()));
  return std::clamp(Result, 0.0, 1.0);
}

} // namespace rr
