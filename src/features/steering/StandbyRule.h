#ifndef REDWINGRACK_STEERING_STANDBYRULE_H
#define REDWINGRACK_STEERING_STANDBYRULE_H

#include "base/Clock.h"

#include <optional>
#include <string>

namespace rr {

/// Capacities of the instances of an availability zone that are in service.
struct ZoneLoad {
  /// Of those that are overloaded.
  double Overloaded = 0;
  /// Of those that are in service only to take over from overloaded ones and
  /// are not overloaded themselves.
  double Helping = 0;
};

/// Whether one more standby is to go into service. Look-ups leave an overloaded
/// instance out, so its whole capacity has to be replaced.
bool isStandbyNeeded(const ZoneLoad &Load);

/// Decides when a standby goes into service because of overload in its zone.
/// Standbys do not know of each other, so each waits for a time of its own and
/// then sees whether others have gone into service meanwhile.
class StandbyTurn {
public:
  explicit StandbyTurn(const std::string &Name);

  /// Records whether one more standby is needed at \p Now. Returns whether it
  /// is this one's turn.
  bool update(bool Needed, Clock::time_point Now);
  /// Time from the first report of the need to the turn of this standby.
  Clock::duration delay() const { return this->Delay; }

private:
  Clock::duration Delay;
  std::optional<Clock::time_point> NeededSince;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_STANDBYRULE_H
