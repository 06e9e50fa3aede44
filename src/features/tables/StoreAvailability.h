#ifndef REDWINGRACK_TABLES_STOREAVAILABILITY_H
#define REDWINGRACK_TABLES_STOREAVAILABILITY_H

#include "base/Clock.h"

#include <string>
#include <vector>

namespace rr {

/// Tracks whether a table can be read, and computes the delay between retries
/// while it cannot.
class StoreAvailability {
public:
  explicit StoreAvailability(std::string Table) : Table(std::move(Table)) {}

  void recordSuccess(Clock::time_point Now);
  /// Returns the delay before the next attempt. \p Jitter is between 0 and 1.
  Clock::duration recordFailure(Clock::time_point Now, double Jitter);

  /// Delay after \p Earlier further attempts without success. \p Jitter is
  /// between 0 and 1.
  static Clock::duration retryDelay(int Earlier, double Jitter);

  bool isFailing() const { return this->Failures > 0; }

  /// Whether the store has only just become available again. Entries may have
  /// expired during the outage, and their owners write them again shortly
  /// after it.
  bool isRecovering(Clock::time_point Now) const {
    return Now < this->RecoveryEnd;
  }
  /// Also considers the tables of \p Others: when one table can be read again,
  /// the store is available for all of them, so the recovery that began first
  /// counts.
  bool isRecovering(Clock::time_point Now,
                    const std::vector<const StoreAvailability *> &Others) const;

private:
  std::string Table;
  Clock::time_point LastSuccess{};
  Clock::time_point LastFailure{};
  /// Last successful read before the most recent outage.
  Clock::time_point LastSuccessBeforeGap{};
  Clock::time_point RecoveryEnd{};
  int Failures = 0;
};

} // namespace rr

#endif // REDWINGRACK_TABLES_STOREAVAILABILITY_H
