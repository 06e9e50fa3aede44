#ifndef REDWINGRACK_MEMBERSHIP_LEASE_H
#define REDWINGRACK_MEMBERSHIP_LEASE_H

#include "base/Clock.h"
#include "base/Outcome.h"

#include <cstdint>
#include <string>

namespace rr {

/// Contents of the row `leases/<name>`.
struct Lease {
  std::string Holder;
  /// Fencing number; rises when the holder changes.
  std::uint64_t Fence = 0;
  Clock::duration Duration{0};
  /// Unique for each write, so that a write can be told from another one.
  std::string Token;
};

std::string formatLease(const Lease &Item);
Outcome<Lease> parseLease(const std::string &Text);

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_LEASE_H
