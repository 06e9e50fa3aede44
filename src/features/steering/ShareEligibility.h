#ifndef REDWINGRACK_STEERING_SHAREELIGIBILITY_H
#define REDWINGRACK_STEERING_SHAREELIGIBILITY_H

#include "base/Clock.h"

#include <optional>

namespace rr {

/// Whether the other instances count this one among those that share a sum,
/// such as a workspace's rate. They forget it when its row grows old; it then
/// waits until they have read a new one. Times are of a clock that counts
/// suspension.
class ShareEligibility {
public:
  /// The row of an earlier run was found, written \p Age ago.
  void recordExistingRow(Clock::duration Age, Clock::time_point Now);
  /// The row was written by a call from \p Start to \p End. \p Forgotten says
  /// that others have gone on without this instance if its row was old.
  void recordWrite(Clock::time_point Start, Clock::time_point End,
                   bool Forgotten);
  /// The row says that this instance shares nothing.
  void release();

  /// The others may have forgotten this instance.
  bool isExpired(Clock::time_point Now) const;
  /// This instance may use its parts.
  bool mayUseShare(Clock::time_point Now) const;
  /// When it may, if its row is written in time.
  Clock::time_point usableFrom() const { return this->UsableFrom; }

private:
  std::optional<Clock::time_point> RowWrittenAt;
  Clock::time_point UsableFrom{};
};

} // namespace rr

#endif // REDWINGRACK_STEERING_SHAREELIGIBILITY_H
