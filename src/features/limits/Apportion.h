#ifndef REDWINGRACK_LIMITS_APPORTION_H
#define REDWINGRACK_LIMITS_APPORTION_H

#include "limits/ShareAmount.h"

#include <cstddef>
#include <vector>

namespace rr {

/// Divides \p Total by \p Weights in whole multiples of \p Granularity, by
/// largest remainder; what is left below one grain goes to the largest weight.
/// The parts always add up to \p Total. Weights of zero in all places count as
/// equal ones. Requires at least one weight.
std::vector<MicroRequests> apportion(MicroRequests Total,
                                     const std::vector<double> &Weights,
                                     MicroRequests Granularity);

/// Weights for dividing an allowance: 90% by demand, 10% equal. The equal part
/// lets an instance admit its first requests before demand is known.
std::vector<double> demandWeights(const std::vector<MicroRequests> &Demands);

/// Number of holders that a burst is divided among. A bucket of one or two
/// requests is nearly always full or empty and wastes its rate, so a small
/// burst has fewer homes than there are holders, and the others borrow.
std::size_t primaryHolderCount(MicroRequests Burst, std::size_t Holders);

/// Divides \p Total by \p Weights among \p PrimaryHolders of the holders: those
/// with the largest weights, where a present holding in \p Held counts
/// PrimaryHolderBonus times, so that homes move only when the demand left them.
/// A single home never moves: borrowers know where it is, and with a few
/// requests a second the demand of one instance is mostly noise. Bursts are
/// divided in whole requests.
std::vector<ShareAmount> divideAllowance(const ShareAmount &Total,
                                         std::vector<double> Weights,
                                         std::size_t PrimaryHolders,
                                         const std::vector<ShareAmount> &Held);

/// Keeps a home whose demand is above a 20th of that of another instance.
constexpr double PrimaryHolderBonus = 20;
constexpr MicroRequests BurstPerPrimaryHolder = 8 * OneRequest;

} // namespace rr

#endif // REDWINGRACK_LIMITS_APPORTION_H
