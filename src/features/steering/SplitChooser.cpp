#include "steering/SplitChooser.h"

namespace rr {

const std::string &SplitChooser::choose(const SteeringRoute &Route) {
  if (Route.Split.size() == 1)
    return Route.Split.front().Service;
  double Total = 0;
  for (const SplitPart &Part : Route.Split)
    Total += Part.Weight;
  auto &Credit = this->ByRoute[Route.Name].ByService;
  const SplitPart *Best = nullptr;
  for (const SplitPart &Part : Route.Split) {
    if (!(Part.Weight > 0))
      continue;
    double &Have = Credit[Part.Service];
    Have += Part.Weight / Total;
    if (!Best || Have > Credit[Best->Service])
      Best = &Part;
  }
  if (!Best)
    return Route.Split.front().Service;
  Credit[Best->Service] -= 1;
  return Best->Service;
}

} // namespace rr
