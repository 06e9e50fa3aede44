#include "steering/RegionMix.h"

#include <algorithm>

namespace rr {

std::map<std::string, double> regionMix(const std::vector<BackendPtr> &Servers,
                                        const std::string &Region) {
  std::map<std::string, double> Slots;
  double Total = 0;
  for (const BackendPtr &Server : Servers) {
    if (Server->Record.Draining)
      continue;
    Slots[Server->Region] += Server->Record.Slots;
    Total += Server->Record.Slots;
  }
  std::map<std::string, double> Mix;
  if (!(Total > 0))
    return Mix;
  const double Average = Total / double(Slots.size());
  const double Own = std::min(1.0, Slots[Region] / Average);
  const double Others = Total - Slots[Region];
  for (const auto &[Name, Count] : Slots)
    Mix[Name] = Name == Region ? Own : (1 - Own) * Count / Others;
  if (!(Others > 0))
    Mix[Region] = 1;
  return Mix;
}

} // namespace rr
