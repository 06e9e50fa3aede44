#ifndef REDWINGRACK_STEERING_MEMBERRECORD_H
#define REDWINGRACK_STEERING_MEMBERRECORD_H

#include "base/Clock.h"

#include <map>
#include <string>

namespace rr {

/// What an instance tells the others about itself.
struct MemberRecord {
  std::string Name;
  /// Random token of one start of the process.
  std::string Incarnation;
  /// Where callers reach it, IP:PORT.
  std::string Address;
  std::string Zone;
  std::string Region;
  /// Where callers ask for instances, IP:PORT; may be empty.
  std::string LookupAddress;
  /// Where other instances connect, IP:PORT; may be empty.
  std::string PeerAddress;
  /// Processor share that the instance may use; tells large ones from small.
  double Capacity = 1;
  /// Is not named to callers for now, and writes and reads seldom.
  bool Standby = false;
  /// Shares the sums soon, but takes no callers yet.
  bool Joining = false;
  /// Time of the store's clock when this was written.
  Clock::duration WrittenAt{0};
  /// The instance has read the store without a gap since then.
  Clock::duration StoreContactSince{0};
  /// Takes no new callers.
  bool Leaving = false;
  /// Requests a second that each workspace sends here.
  std::map<std::string, double> Demand;
  /// Version evidence by service, encoded by the rollout part.
  std::map<std::string, std::string> Rollouts;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_MEMBERRECORD_H
