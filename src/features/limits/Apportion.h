#ifndef REDWINGRACK_LIMITS_APPORTION_H
#define REDWINGRACK_LIMITS_APPORTION_H

#include "limits/ShareAmount.h"

#include <vector>

namespace rr {

/// Divides \p Total by \p Weights in whole multiples of \p Grain, by largest
/// remainder; what is left below one grain goes to the largest weight. The
/// parts always add up to \p Total. Weights of zero in all places count as
/// equal ones. Requires at least one weight.
std::vector<MicroRequests> apportion(MicroRequests Total,
                                     const std::vector<double> &Weights,
                                     MicroRequests Grain);

/// Weights for dividing an allowance: 90% by demand, 10% equal. The equal part
/// lets an instance admit its first requests before demand is known.
std::vector<double> demandWeights(const std::vector<MicroRequests> &Demands);

/// Divides rate and burst by \p Weights. Bursts are divided in whole requests,
/// and rate goes only where a whole request can gather: a bucket that holds
/// less than one request never admits, and its rate would be wasted.
std::vector<ShareAmount> divideAllowance(const ShareAmount &Total,
                                         std::vector<double> Weights);

} // namespace rr

#endif // REDWINGRACK_LIMITS_APPORTION_H
