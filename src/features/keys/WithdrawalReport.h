#ifndef REDWINGRACK_KEYS_WITHDRAWALREPORT_H
#define REDWINGRACK_KEYS_WITHDRAWALREPORT_H

#include "base/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rr {

/// What an operator is told about a withdrawal.
struct WithdrawalReport {
  struct Unconfirmed {
    std::string Instance;
    /// When its freshness proof lapses at the latest. Empty while the
    /// withdrawal is not in the store: an instance that can read the store
    /// when this one cannot keeps its proof.
    std::optional<Clock::time_point> ProofLapsesAt;
  };

  /// No instance serves the key any more.
  bool InForce = false;
  /// The store has it.
  bool Durable = false;
  /// Key set version, when durable.
  std::uint64_t Version = 0;
  /// Instances that hold it. While it is not durable it is lost if all of
  /// their processes end.
  std::size_t Holders = 0;
  std::vector<Unconfirmed> Missing;

  /// It holds from now on, whatever happens to this instance.
  bool isAccepted() const { return this->InForce || this->Durable; }
};

} // namespace rr

#endif // REDWINGRACK_KEYS_WITHDRAWALREPORT_H
