#ifndef REDWINGRACK_USAGE_USAGEBACKLOG_H
#define REDWINGRACK_USAGE_USAGEBACKLOG_H

#include "usage/UsageWindow.h"

#include <optional>
#include <set>
#include <vector>

namespace rr {

/// The reports of the holder that are not accepted yet. A report is sent only
/// after its row has been stored, and its counts never change.
class UsageBacklog {
public:
  /// Reports, and windows without a report, that are kept: two minutes with
  /// the usual window.
  static constexpr std::size_t MaxWindows = 24;

  struct Report {
    UsageCounts Counts;
    bool Stored = false;
  };

  UsageBacklog() = default;
  /// \p Rows are the stored reports and \p Done is from the row of the lease.
  /// The reports of \p Done and earlier windows are only removed. A row without
  /// counts cannot be read: other counts may have been sent for its window, so
  /// that the window is left out.
  UsageBacklog(UsageWindow Done,
               std::map<UsageWindow, std::optional<UsageCounts>> Rows);

  /// The window that is closed next.
  UsageWindow nextToClose() const { return this->NextToClose; }
  /// Closes the next window with a report, or without one.
  void close(UsageCounts Counts);
  void leaveOut();
  /// Gives up the oldest report if there are more than MaxWindows.
  std::optional<UsageWindow> dropOldest();

  /// Reports whose rows must be written, and windows whose rows may be removed.
  std::vector<UsageWindow> unstored() const;
  std::vector<UsageWindow> removable() const;
  const Report &report(UsageWindow Window) const {
    return this->Reports.at(Window);
  }
  /// The store came back from a copy, so that it is not known which rows there
  /// are: they are written again before a report is sent. Rows of finished
  /// windows that are back are removed by the next holder.
  void forgetRows();
  /// Record that a transaction has written or removed rows.
  void recordStored(const std::vector<UsageWindow> &Windows);
  void recordRemoved(const std::vector<UsageWindow> &Windows);

  /// The oldest report, if it has been stored.
  std::optional<UsageWindow> nextToSend() const;
  /// The report of \p Window was accepted.
  void accept(UsageWindow Window);
  /// This window and earlier ones need no report any more.
  UsageWindow done() const;
  std::size_t size() const { return this->Reports.size(); }

private:
  std::map<UsageWindow, Report> Reports;
  /// Windows that have a row in the table.
  std::set<UsageWindow> Rows;
  UsageWindow NextToClose = 1;
};

} // namespace rr

#endif // REDWINGRACK_USAGE_USAGEBACKLOG_H
