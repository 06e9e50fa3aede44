#ifndef REDWINGRACK_MEMBERSHIP_LEASEKEEPER_H
#define REDWINGRACK_MEMBERSHIP_LEASEKEEPER_H

#include "membership/Lease.h"
#include "platform/Platform.h"

#include <optional>
#include <string>

namespace rr {

/// Takes, renews and checks one lease for one instance.
class LeaseKeeper {
public:
  static constexpr Clock::duration Duration = std::chrono::seconds(10);
  static constexpr Clock::duration RenewAfter = std::chrono::seconds(3);
  /// A challenger waits until the row did not change for this long on its own
  /// clock: the duration and 2 s for clocks that run at different speeds.
  static constexpr Clock::duration ChallengeAfter = std::chrono::seconds(12);

  /// \p Holder names this process: instance and incarnation.
  LeaseKeeper(std::string Name, std::string Holder);

  /// Reads the row, renews an own lease that is due, and takes one that is
  /// free. To be called about once a second, one call at a time.
  asio::awaitable<Outcome<void>> step(const Platform &Store);

  /// Whether this instance holds the lease. Counted on the own clock from
  /// before the last write was sent.
  bool isHeld(Clock::time_point Now) const {
    return this->HeldUntil && Now < *this->HeldUntil;
  }
  std::uint64_t fence() const { return this->Fence; }
  /// Stops holding it here; the row lapses by itself.
  void drop() { this->HeldUntil.reset(); }

  /// Commits \p Writes in one transaction with a check that the row still
  /// has this holder's fence. Errc::Stale when the lease is not held or
  /// another instance took it; other errors as commitVerified().
  asio::awaitable<Outcome<void>>
  commitFenced(const Platform &Store, Transaction Writes, std::string ProbeKey);

private:
  std::string rowKey() const { return "leases/" + this->Name; }
  asio::awaitable<Outcome<void>> write(const Platform &Store,
                                       std::uint64_t ExpectedVersion,
                                       std::uint64_t NewFence);
  /// Version of the row while it has this holder's fence; empty otherwise.
  asio::awaitable<Outcome<std::optional<std::uint64_t>>>
  readOwnVersion(const Platform &Store);

  std::string Name;
  std::string Holder;
  std::uint64_t Fence = 0;
  /// Version of the row at the last own write.
  std::uint64_t RowVersion = 0;
  std::optional<Clock::time_point> HeldUntil;
  Clock::time_point RenewedAt;
  /// Version of another holder's row and since when it is unchanged.
  std::uint64_t SeenVersion = 0;
  std::optional<Clock::time_point> SeenSince;
};

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_LEASEKEEPER_H
