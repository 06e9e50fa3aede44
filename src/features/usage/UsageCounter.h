#ifndef REDWINGRACK_USAGE_USAGECOUNTER_H
#define REDWINGRACK_USAGE_USAGECOUNTER_H

#include "usage/UsageWindow.h"

#include <functional>
#include <optional>

namespace rr {

/// Counts the requests of one instance that servers began to run, by window and
/// workspace.
class UsageCounter {
public:
  /// Windows for which counts are kept. The reports of older windows are given
  /// up; see UsageBacklog::MaxWindows.
  static constexpr std::size_t MaxWindows = 28;

  /// \p Now returns the true time.
  UsageCounter(Clock::duration Window, std::function<TrueTime()> Now);

  /// Counts one request that a server began to run at \p StartedAt.
  void record(const std::string &Workspace, Clock::time_point StartedAt);

  /// The counts of \p Window and earlier ones do not change any more.
  void closeThrough(UsageWindow Window);
  /// Forgets the counts of \p Window and earlier ones.
  void removeThrough(UsageWindow Window);

  /// Counts of all windows that changed after change \p After.
  std::map<UsageWindow, UsageCounts> changedSince(std::uint64_t After) const;
  /// Number of the last change; rises with each recorded request.
  std::uint64_t lastChange() const { return this->Changes; }
  /// The window in which counting began.
  UsageWindow firstWindow() const { return this->First; }
  /// Requests that were not counted because their window had been closed.
  std::uint64_t lateRequests() const { return this->Late; }

private:
  struct Entry {
    UsageCounts Counts;
    std::uint64_t LastChange = 0;
  };

  Clock::duration Length;
  std::function<TrueTime()> Now;
  UsageWindow First;
  std::map<UsageWindow, Entry> Windows;
  std::optional<UsageWindow> ClosedThrough;
  std::uint64_t Changes = 0;
  std::uint64_t Late = 0;
};

} // namespace rr

#endif // REDWINGRACK_USAGE_USAGECOUNTER_H
