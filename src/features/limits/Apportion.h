#ifndef REDWINGRACK_LIMITS_APPORTION_H
#define REDWINGRACK_LIMITS_APPORTION_H

#include "limits/ShareAmount.h"

#include <cstddef>
#include <vector>

namespace rr {

/// Divides \p Total in proportion to \p Weights into multiples of \p
/// Granularity by the largest remainder method. The rest below one unit goes to
/// the largest weight, so that the parts always add up to \p Total. If all
/// weights are zero, they count as equal. Requires at least one weight.
std::vector<MicroRequests> apportion(MicroRequests Total,
                                     const std::vector<double> &Weights,
                                     MicroRequests Granularity);

/// Weights for dividing an allowance: 90% by demand, 10% in equal parts. The
/// equal part lets an instance admit its first requests before its demand is
/// known.
std::vector<double> demandWeights(const std::vector<MicroRequests> &Demands);

/// Number of primary holders, among which a burst is divided. A bucket with a
/// capacity of one or two requests is nearly always full or empty and wastes
/// its rate, so a small burst has fewer primary holders than there are holders;
/// the others borrow from them.
std::size_t primaryHolderCount(MicroRequests Burst, std::size_t Holders);

/// Divides \p Total by \p Weights among \p PrimaryHolders holders, choosing
/// those with the largest weights. The weight of a holder that is primary
/// according to \p Held counts PrimaryHolderBonus times for this choice, so
/// that primary holders change only when the demand has moved away. A single
/// primary holder never changes: borrowers know it, and at a few requests per
/// second the measured demand of one instance is mostly noise. Bursts are
/// divided in whole requests.
std::vector<ShareAmount> divideAllowance(const ShareAmount &Total,
                                         std::vector<double> Weights,
                                         std::size_t PrimaryHolders,
                                         const std::vector<ShareAmount> &Held);

/// A primary holder is kept while its demand is above 1/20 of that of another
/// instance.
constexpr double PrimaryHolderBonus = 20;
constexpr MicroRequests BurstPerPrimaryHolder = 8 * OneRequest;

} // namespace rr

#endif // REDWINGRACK_LIMITS_APPORTION_H
