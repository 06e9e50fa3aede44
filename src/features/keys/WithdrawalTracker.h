#ifndef REDWINGRACK_KEYS_WITHDRAWALTRACKER_H
#define REDWINGRACK_KEYS_WITHDRAWALTRACKER_H

#include "keys/KeyHash.h"
#include "keys/WithdrawalReport.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rr {

class MemberTable;
struct WithdrawalAck;

/// Follows one withdrawal at the instance that took it from the operator.
class WithdrawalTracker {
public:
  /// \p Hash is refused here since \p Now.
  WithdrawalTracker(const KeyHash &Hash, Clock::time_point Now)
      : Hash(Hash), StartedAt(Now) {}

  const KeyHash &hash() const { return this->Hash; }
  Clock::time_point startedAt() const { return this->StartedAt; }
  /// The store has it in a key set version, at \p Now or earlier.
  void noteDurable(std::uint64_t KeyVersion, Clock::time_point Now);
  void noteAck(const WithdrawalAck &Ack);

  /// Counted members that have not acknowledged with the present member list
  /// or are not known to; the push is to be repeated to them.
  std::vector<std::string> missing(const MemberTable &Members) const;
  /// The state at \p Now. A withdrawal that was in force stays so.
  WithdrawalReport report(const MemberTable &Members, Clock::time_point Now);

private:
  struct Ack {
    std::uint64_t Incarnation = 0;
    std::string ListDigest;
  };

  bool holds(const std::string &Name, std::uint64_t Incarnation) const;

  KeyHash Hash;
  Clock::time_point StartedAt;
  std::map<std::string, Ack> Acks;
  std::optional<Clock::time_point> DurableAt;
  std::uint64_t Version = 0;
  bool InForce = false;
};

} // namespace rr

#endif // REDWINGRACK_KEYS_WITHDRAWALTRACKER_H
