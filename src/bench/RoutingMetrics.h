#ifndef REDWINGRACK_BENCH_ROUTINGMETRICS_H
#define REDWINGRACK_BENCH_ROUTINGMETRICS_H

#include "bench/SimRequest.h"

#include <cstdint>
#include <vector>

namespace rr {

/// Figures of one simulation run.
struct RoutingMetrics {
  enum class End { Answered, Failed, Refused };

  /// Requests of one workspace.
  struct WorkspaceCount {
    std::uint64_t All = 0;
    std::uint64_t Answered = 0;
  };

  std::vector<double> LatencyMs;
  std::uint64_t Failed = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Spilled = 0;
  /// Spilled requests that arrived while all slots of the service were taken.
  std::uint64_t SpilledIntoFull = 0;
  /// Highest share of a server's slots that was in use or waited for.
  double HighestSlotUse = 0;
  /// Samples of a region and service with more requests at its servers than
  /// slots, and all samples.
  std::uint64_t OverloadSamples = 0;
  std::uint64_t Samples = 0;
  /// Highest share of a link that was used in a second.
  double HighestLinkUse = 0;
  /// Sum over samples of the share of free slots of the fleet.
  double FreeShareSum = 0;
  std::uint64_t FreeShareSamples = 0;
  std::vector<WorkspaceCount> Workspaces;

  void count(const SimRequest &Request, End How, double Latency);
};

void printMetricsHeader();
void printMetrics(const char *Policy, RoutingMetrics Metrics);

} // namespace rr

#endif // REDWINGRACK_BENCH_ROUTINGMETRICS_H
