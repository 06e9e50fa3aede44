#ifndef REDWINGRACK_STEERING_MEMBERRECORD_H
#define REDWINGRACK_STEERING_MEMBERRECORD_H

#include "base/Clock.h"
#include "steering/ServerLimitReport.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace rr {

/// The record that an instance publishes about itself.
struct MemberRecord {
  std::string Name;
  /// Random token that identifies one run of the process.
  std::string Incarnation;
  /// Rises with each row that this run writes; 0 in rows of earlier versions of
  /// the program.
  std::uint64_t Sequence = 0;
  /// Where callers reach it, IP:PORT.
  std::string Address;
  std::string Zone;
  std::string Region;
  /// Lookup address for callers, IP:PORT; may be empty.
  std::string LookupAddress;
  /// Where other instances connect, IP:PORT; may be empty.
  std::string PeerAddress;
  /// Processor share available to the instance; separates large from small
  /// instances.
  double Capacity = 1;
  /// The instance is not announced to callers, and reads and writes rows less
  /// often.
  bool Standby = false;
  /// The instance will use its share of the fleet-wide limits soon, but accepts
  /// no callers yet.
  bool Joining = false;
  /// Store clock time of the write.
  Clock::duration WrittenAt{0};
  /// Store clock time since which the instance has read the store without a
  /// gap.
  Clock::duration StoreContactSince{0};
  /// Version of the configuration that the instance uses; 0 if none, and in
  /// rows of earlier versions of the program.
  std::uint64_t Configuration = 0;
  /// The instance accepts no new callers.
  bool Leaving = false;
  /// Store clock time since which the instance is overloaded; empty if it is
  /// not.
  std::optional<Clock::duration> Distressed;
  /// Requests per second to this instance, by workspace.
  std::map<std::string, double> Demand;
  /// What backend servers said about their limits, by server id.
  std::map<std::string, ServerLimitReport> ServerLimits;
  /// Version evidence by service, encoded by the rollout part.
  std::map<std::string, std::string> Rollouts;
};

/// Whether \p Known replaced \p Row: the same run wrote it later. The store may
/// execute a write seconds after it was sent.
inline bool isReplacedBy(const MemberRecord &Row, const MemberRecord &Known) {
  return Row.Incarnation == Known.Incarnation && Row.Sequence < Known.Sequence;
}

} // namespace rr

#endif // REDWINGRACK_STEERING_MEMBERRECORD_H
