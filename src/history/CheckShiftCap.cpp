#include "history/CapCheck.h"
#include "history/Checks.h"

#include <iterator>

namespace rr::history {

namespace {

CapScope scopeOf(const ShiftCap &Shift) {
  const auto EntersIn = [&Shift](const std::string &Region) {
    return Shift.FromRegion.empty() ? Region != Shift.ToRegion
                                    : Region == Shift.FromRegion;
  };
  return {Promise::ShiftCap,
          [&Shift, EntersIn](const CallerSent &Sent) {
            return Sent.Workspace == Shift.Workspace &&
                   EntersIn(Sent.EntryRegion);
          },
          [&Shift](const ServerBegan &Began) {
            return Began.ServerRegion == Shift.ToRegion;
          }};
}

} // namespace

std::vector<Violation> checkShiftCap(const Timeline &Recorded) {
  std::map<std::string, std::vector<const ShiftCap *>> ByPlan;
  for (const ShiftCap *Cap : Recorded.all<ShiftCap>())
    ByPlan[Cap->Plan].push_back(Cap);
  std::vector<Violation> Found;
  for (const auto &[Plan, Caps] : ByPlan)
    std::ranges::move(checkCap(Recorded, Caps, scopeOf(*Caps.front())),
                      std::back_inserter(Found));
  return Found;
}

} // namespace rr::history
