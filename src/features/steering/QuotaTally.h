#ifndef REDWINGRACK_STEERING_QUOTATALLY_H
#define REDWINGRACK_STEERING_QUOTATALLY_H

#include <cstdint>

namespace rr {

/// What came of the requests of a QuotaFleet.
struct QuotaTally {
  std::uint64_t Offered = 0;
  /// Requests for which an ideal bucket had room.
  std::uint64_t Owed = 0;
  std::uint64_t Wrongful = 0;
  std::uint64_t Admitted = 0;
  /// Requests for which another instance was asked.
  std::uint64_t Asked = 0;
  /// Messages between instances, answers included.
  std::uint64_t Messages = 0;
  /// Most requests in a window, as a part of what the rule allows.
  double WorstWindow = 0;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_QUOTATALLY_H
