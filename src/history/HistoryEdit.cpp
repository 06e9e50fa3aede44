#include "history/HistoryEdit.h"

#include <algorithm>

namespace rr::history {

using namespace std::chrono_literals;

Clock::time_point after(const History &Target) {
  Clock::time_point Last;
  for (const Event &Item : Target.Events)
    Last = std::max(Last, timeOf(Item));
  return Last + 1min;
}

CallerSent addRun(History &Target, Clock::time_point At,
                  const std::string &Workspace, const std::string &Region,
                  const std::string &Version, Clock::duration Length,
                  unsigned Outstanding) {
  const std::string Id = "added" + std::to_string(Target.Events.size());
  const bool Open = Workspace.empty();
  CallerSent Sent{At,
                  Id,
                  "stock",
                  Workspace,
                  Open ? "" : Workspace + "-a",
                  "east-i1",
                  "east",
                  "",
                  true,
                  Open,
                  "digest-" + Id};
  Target.record(Sent);
  Target.record(ServerBegan{At, Id, Region + "-added", "stock", Version, "east",
                            Region, Workspace, false, Outstanding});
  Target.record(ServerEnded{At + Length, Id, Region + "-added", 0});
  Target.record(CallerAnswered{At + Length, Id, CallerOutcome::Answered,
                               Sent.ExpectedDigest, true});
  return Sent;
}

} // namespace rr::history
