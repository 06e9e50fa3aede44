#ifndef REDWINGRACK_STEERING_QUOTASIMULATIONRESULT_H
#define REDWINGRACK_STEERING_QUOTASIMULATIONRESULT_H

#include <cstdint>

namespace rr {

/// Request counts of a QuotaSimulation.
struct QuotaSimulationResult {
  std::uint64_t Offered = 0;
  /// Requests that an ideal fleet-wide bucket admitted.
  std::uint64_t IdealAdmitted = 0;
  std::uint64_t WrongfulRefusals = 0;
  std::uint64_t Admitted = 0;
  /// Requests for which tokens were requested from another instance.
  std::uint64_t RemoteRequests = 0;
  /// Messages between instances, including answers.
  std::uint64_t Messages = 0;
  /// Largest request count of a window, relative to the permitted count.
  double WorstWindow = 0;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_QUOTASIMULATIONRESULT_H
