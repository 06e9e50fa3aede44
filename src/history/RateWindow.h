#ifndef REDWINGRACK_HISTORY_RATEWINDOW_H
#define REDWINGRACK_HISTORY_RATEWINDOW_H

#include "history/Admission.h"
#include "history/RateBudget.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace rr::history {

/// A window of time with more admissions than allowed.
struct RateWindow {
  Clock::time_point Begin;
  Clock::time_point End;
  std::size_t Admitted = 0;
  double Allowed = 0;
};

/// The window that exceeds the budget plus \p Burst by most, if any does. Takes
/// n log n steps for n admissions.
std::optional<RateWindow> findExcess(std::vector<Admission> Admissions,
                                     const RateBudget &Budget, double Burst);

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_RATEWINDOW_H
