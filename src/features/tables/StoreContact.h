#ifndef REDWINGRACK_TABLES_STORECONTACT_H
#define REDWINGRACK_TABLES_STORECONTACT_H

#include "base/Clock.h"

#include <string>

namespace rr {

/// Tracks whether a table can be read, and paces the attempts when it cannot.
class StoreContact {
public:
  explicit StoreContact(std::string Table) : Table(std::move(Table)) {}

  void succeeded(Clock::time_point Now);
  /// Returns the time to wait before the next attempt.
  Clock::duration failed(Clock::time_point Now, double Jitter);

  bool isFailing() const { return this->Failures > 0; }

  /// Entries may have lapsed while the store was away, and come back shortly
  /// after.
  bool isSettling(Clock::time_point Now) const { return Now < this->SettledAt; }

private:
  std::string Table;
  Clock::time_point LastSuccess{};
  Clock::time_point SettledAt{};
  int Failures = 0;
};

} // namespace rr

#endif // REDWINGRACK_TABLES_STORECONTACT_H
