#ifndef REDWINGRACK_HISTORY_HISTORYEDIT_H
#define REDWINGRACK_HISTORY_HISTORYEDIT_H

#include "history/History.h"

#include <functional>

namespace rr::history {

/// One of the events of a type that fit; null when none does.
template <typename T>
T *pick(History &Target, std::uint32_t Choice,
        const std::function<bool(const T &)> &Fits) {
  std::vector<T *> Found;
  for (Event &Item : Target.Events)
    if (T *Value = std::get_if<T>(&Item); Value && Fits(*Value))
      Found.push_back(Value);
  return Found.empty() ? nullptr : Found[Choice % Found.size()];
}

/// The first event of a type with that request id.
template <typename T>
const T *find(History &Target, const std::string &RequestId) {
  return pick<T>(Target, 0,
                 [&](const T &Item) { return Item.RequestId == RequestId; });
}

/// A minute after everything else, when all buckets are full and nothing runs.
Clock::time_point after(const History &Target);

/// Adds a request that runs at once and is answered after \p Length: four
/// events at the end of the record.
CallerSent addRun(History &Target, Clock::time_point At,
                  const std::string &Workspace, const std::string &Region,
                  const std::string &Version = "v1",
                  Clock::duration Length = {}, unsigned Outstanding = 1);

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_HISTORYEDIT_H
