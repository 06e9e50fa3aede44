#ifndef REDWINGRACK_STEERING_SHAREELIGIBILITY_H
#define REDWINGRACK_STEERING_SHAREELIGIBILITY_H

#include "base/Clock.h"

#include <cstdint>
#include <optional>

namespace rr {

/// Whether this instance may use its share of the fleet-wide limits, such as a
/// workspace's rate. The other instances redistribute its share when its row
/// expires; it must then wait until they have read a new row. Times are of a
/// clock that includes suspension.
class ShareEligibility {
public:
  /// Records that a row of an earlier run was found, written \p Age ago.
  void recordExistingRow(Clock::duration Age, Clock::time_point Now);
  /// Records that the row was written by a call from \p Start to \p End. \p
  /// Forgotten tells whether the others redistribute the share of this instance
  /// once its row expires.
  void recordWrite(Clock::time_point Start, Clock::time_point End,
                   bool Forgotten);
  /// Records that the row now claims no share.
  void release();

  /// Whether the others may have redistributed this instance's share.
  bool isExpired(Clock::time_point Now) const;
  /// Whether this instance may use its share.
  bool mayUseShare(Clock::time_point Now) const;
  /// Time from which it may, provided that its row is renewed in time.
  Clock::time_point usableFrom() const { return this->UsableFrom; }
  /// Changes each time that the share begins anew after it had ended. What was
  /// collected before must not be used then.
  std::uint64_t tenure() const { return this->Tenure; }
  /// Whether the others redistributed the share before the current tenure.
  bool wasRedistributed() const { return this->Redistributed; }

private:
  std::optional<Clock::time_point> RowWrittenAt;
  Clock::time_point UsableFrom{};
  std::uint64_t Tenure = 0;
  bool Redistributed = false;
  /// The row claimed no share since the last tenure.
  bool Released = false;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_SHAREELIGIBILITY_H
