#ifndef REDWINGRACK_TABLES_STOREAVAILABILITY_H
#define REDWINGRACK_TABLES_STOREAVAILABILITY_H

#include "base/Clock.h"

#include <string>
#include <vector>

namespace rr {

/// Tracks whether a table can be read, and paces the attempts when it cannot.
class StoreAvailability {
public:
  explicit StoreAvailability(std::string Table) : Table(std::move(Table)) {}

  void recordSuccess(Clock::time_point Now);
  /// Returns the time to wait before the next attempt.
  Clock::duration recordFailure(Clock::time_point Now, double Jitter);

  bool isFailing() const { return this->Failures > 0; }

  /// Entries may have lapsed while the store was away, and come back shortly
  /// after.
  bool isRecovering(Clock::time_point Now) const {
    return Now < this->RecoveryEnd;
  }
  /// The same for this table when \p Others are followed as well: the store
  /// is back for all tables when it is back for one.
  bool isRecovering(Clock::time_point Now,
                    const std::vector<const StoreAvailability *> &Others) const;

private:
  std::string Table;
  Clock::time_point LastSuccess{};
  /// The last success before the last gap.
  Clock::time_point LastSuccessBeforeGap{};
  Clock::time_point RecoveryEnd{};
  int Failures = 0;
};

} // namespace rr

#endif // REDWINGRACK_TABLES_STOREAVAILABILITY_H
