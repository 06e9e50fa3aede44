#include "history/Checks.h"

#include <algorithm>
#include <iterator>

namespace rr::history {

std::vector<Violation> checkHistory(const History &Recorded) {
  const Timeline Ordered(Recorded);
  std::vector<Violation> Found;
  for (const auto Check :
       {checkShiftCap, checkRegionLoad, checkOwnWorkspace, checkKeyHidden,
        checkKeyWithdrawal, checkWorkspaceRate, checkVersionShare,
        checkWholeAnswer, checkNotRun, checkAtMostOnce, checkDrain,
        checkPlannedStop, checkConfiguration})
    std::ranges::move(Check(Ordered), std::back_inserter(Found));
  std::ranges::sort(Found, {}, [](const Violation &Item) {
    return std::pair(Item.At, Item.Broken);
  });
  return Found;
}

} // namespace rr::history
