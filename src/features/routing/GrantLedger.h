#ifndef REDWINGRACK_ROUTING_GRANTLEDGER_H
#define REDWINGRACK_ROUTING_GRANTLEDGER_H

#include "base/Clock.h"
#include "routing/GrantAsk.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace rr {

/// Grants rates that are valid for a while, and never more than a limit over
/// all grants that may still be in use. A new grant may not have reached its
/// receiver, so that the old one counts until it ends.
class GrantLedger {
public:
  /// Validity of a grant.
  static constexpr std::chrono::seconds Validity{3};

  /// Divides \p Limit among \p Asks; the results are in the same order. The
  /// sum of grants grows by at most a factor of two a call, so that cold
  /// caches meet new traffic gradually.
  std::vector<double> grant(const std::vector<GrantAsk> &Asks, double Limit,
                            Clock::time_point Now);

  /// Highest sum of rates that receivers may use now.
  double reserved(Clock::time_point Now) const;

private:
  struct LiveGrant {
    double PerSecond = 0;
    Clock::time_point Until{};
  };
  double reservedBy(const std::string &Key, Clock::time_point Now) const;

  std::map<std::string, std::vector<LiveGrant>> Grants;
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_GRANTLEDGER_H
