#ifndef REDWINGRACK_STEERING_COMPLETIONCALIBRATION_H
#define REDWINGRACK_STEERING_COMPLETIONCALIBRATION_H

#include "base/Clock.h"
#include "steering/Placement.h"

#include <optional>

namespace rr {

/// Number of classes of completionDecile().
inline constexpr int CompletionDeciles = 10;

/// Decile, 0 to 9, of the distribution of completion times predicted by
/// \p Decision in which an answer after \p Time falls. With exact predictions
/// each decile gets a tenth of the answers. Empty if the decision was not made
/// by cost.
std::optional<int> completionDecile(const Placement &Decision,
                                    Clock::duration RoundTrip,
                                    Clock::duration Time);

} // namespace rr

#endif // REDWINGRACK_STEERING_COMPLETIONCALIBRATION_H
