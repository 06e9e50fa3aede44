#ifndef REDWINGRACK_STEERING_QUOTASIMULATIONRESULT_H
#define REDWINGRACK_STEERING_QUOTASIMULATIONRESULT_H

#include <cstdint>

namespace rr {

/// What came of the requests of a QuotaSimulation.
struct QuotaSimulationResult {
  std::uint64_t Offered = 0;
  /// Requests for which an ideal bucket had room.
  std::uint64_t IdealAdmitted = 0;
  std::uint64_t WrongfulRefusals = 0;
  std::uint64_t Admitted = 0;
  /// Requests for which another instance was asked.
  std::uint64_t RemoteRequests = 0;
  /// Messages between instances, answers included.
  std::uint64_t Messages = 0;
  /// Most requests in a window, as a part of what the rule allows.
  double WorstWindow = 0;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_QUOTASIMULATIONRESULT_H
