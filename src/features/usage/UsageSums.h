#ifndef REDWINGRACK_USAGE_USAGESUMS_H
#define REDWINGRACK_USAGE_USAGESUMS_H

#include "usage/UsageMessages.h"
#include "usage/UsageWindow.h"

#include <set>
#include <utility>
#include <vector>

namespace rr {

/// Counts that the holder received, by instance and incarnation, and their sums
/// by window.
class UsageSums {
public:
  /// Instances, with earlier incarnations, of which counts are kept.
  static constexpr std::size_t MaxSources = 4096;

  /// Replaces the counts of the sender for the windows in \p Message. Ignores a
  /// message that is not newer than the last one of the same incarnation.
  void apply(const UsageCountsMessage &Message);
  UsageCounts total(UsageWindow Window) const;
  /// Whether an instance counted from the beginning of \p Window.
  bool isCovered(UsageWindow Window) const;
  /// The members of \p Names from which no message was received.
  std::vector<std::string> silent(const std::vector<std::string> &Names) const;
  /// Forgets the counts of \p Window and earlier ones.
  void removeThrough(UsageWindow Window);
  void clear() { this->Sources.clear(); }

private:
  struct Source {
    std::uint64_t Sequence = 0;
    UsageWindow First = 0;
    std::map<UsageWindow, UsageCounts> Windows;
  };

  /// By name and incarnation.
  std::map<std::pair<std::string, std::string>, Source> Sources;
};

} // namespace rr

#endif // REDWINGRACK_USAGE_USAGESUMS_H
