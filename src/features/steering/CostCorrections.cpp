#include "steering/CostCorrections.h"

#include <algorithm>
#include <cmath>

namespace rr {

namespace {

/// Observations of the route that an entry has to outweigh. With a spread of
/// 15% to 25%, twelve observations tell a difference of about 10%.
constexpr float PriorObservations = 12;
/// Observations after which older ones are forgotten.
constexpr float MaxObservations = 100;
/// Bounds of a correction. A larger difference is that of another route.
constexpr double MinRatio = 0.5;
constexpr double MaxRatio = 2;
/// Share of its observations that an entry loses when another key needs its
/// place.
constexpr float CollisionDecay = 0.5F;

} // namespace

double CostCorrections::ratio(std::uint64_t Key) const {
  const Entry &Item = this->Table[Key % this->Table.size()];
  if (Item.Key != Key || !(Item.Count > 0))
    return 1;
  return std::clamp(
      std::exp(double(Item.LogSum / (Item.Count + PriorObservations))),
      MinRatio, MaxRatio);
}

void CostCorrections::record(std::uint64_t Key, double Ratio) {
  Entry &Item = this->Table[Key % this->Table.size()];
  if (Item.Key != Key) {
    Item.LogSum *= CollisionDecay;
    Item.Count *= CollisionDecay;
    if (Item.Count >= 1)
      return;
    Item = {Key, 0, 0};
  }
  if (Item.Count >= MaxObservations) {
    Item.LogSum *= 1 - 1 / MaxObservations;
    Item.Count *= 1 - 1 / MaxObservations;
  }
  Item.LogSum += float(std::log(std::clamp(Ratio, MinRatio, MaxRatio)));
  Item.Count += 1;
}

} // namespace rr
