#ifndef REDWINGRACK_ROUTING_SPILLGRANTOR_H
#define REDWINGRACK_ROUTING_SPILLGRANTOR_H

#include "routing/GrantLedger.h"
#include "routing/SpillAsk.h"
#include "routing/SpillGrant.h"
#include "routing/SpillSupply.h"

#include <cstdint>

namespace rr {

/// Hands out a region's spill credits at one of its relays. The relays do not
/// agree with each other; each grants its fixed part of the region.
class SpillGrantor {
public:
  /// \p Granters is the number of relays of the region that may grant.
  SpillGrantor(std::string Region, std::string Name, std::uint32_t Granters);

  /// Capacity between this region and \p FromRegion, the smaller direction.
  void setLink(const std::string &FromRegion, double BytesPerSecond);

  /// Answers all asks of a round together. Grants that are zero are left out.
  std::vector<SpillGrant> grant(const std::vector<SpillAsk> &Asks,
                                const std::vector<SpillSupply> &Supplies,
                                Clock::time_point Now);

private:
  std::vector<double> grantRequests(const std::vector<SpillAsk> &Asks,
                                    const std::vector<SpillSupply> &Supplies,
                                    Clock::time_point Now);
  std::vector<double> grantBytes(const std::vector<SpillAsk> &Asks,
                                 Clock::time_point Now);

  std::string Region;
  std::string Name;
  double Part;
  std::map<std::string, double> Links;
  std::map<std::string, GrantLedger> RequestLedgers;
  std::map<std::string, GrantLedger> ByteLedgers;
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_SPILLGRANTOR_H
