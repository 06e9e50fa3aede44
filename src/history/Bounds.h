#ifndef REDWINGRACK_HISTORY_BOUNDS_H
#define REDWINGRACK_HISTORY_BOUNDS_H

#include <chrono>

namespace rr::history {

/// Bounds that the promises state.
inline constexpr std::chrono::seconds WithdrawalBound{5};
inline constexpr std::chrono::seconds FaultBound{5};
inline constexpr std::chrono::seconds DrainBound{5};
inline constexpr std::chrono::seconds ConfigurationBound{7};

/// A region's spill credits are valid for 3 s; a loss of servers cannot be
/// known to the holders of credits any sooner.
inline constexpr std::chrono::seconds CapacityLossBound{3};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_BOUNDS_H
