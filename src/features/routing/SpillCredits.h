#ifndef REDWINGRACK_ROUTING_SPILLCREDITS_H
#define REDWINGRACK_ROUTING_SPILLCREDITS_H

#include "base/Clock.h"
#include "routing/RateTokens.h"
#include "routing/SpillGrant.h"

#include <string_view>
#include <vector>

namespace rr {

/// Spill credits that this instance holds. Without credit nothing is sent to
/// another region.
class SpillCredits {
public:
  /// Takes a grant, or this instance's part of it, that was asked for at
  /// \p AskedAt. It replaces the earlier grant of the same granter, unless
  /// that was asked for later.
  void apply(const SpillGrant &Grant, Clock::time_point AskedAt,
             Clock::time_point Now);

  /// Spends one request and \p Bytes, both or nothing.
  bool trySpend(std::string_view Region, std::string_view Service, double Bytes,
                Clock::time_point Now);

  /// Divides the grant of a zone among its instances, in the order of
  /// \p Demands.
  static std::vector<SpillGrant> divide(const SpillGrant &Grant,
                                        const std::vector<double> &Demands);

private:
  struct Credit {
    SpillGrant Grant;
    Clock::time_point AskedAt{};
    RateTokens Requests;
    RateTokens Bytes;
  };
  std::vector<Credit> Credits;
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_SPILLCREDITS_H
