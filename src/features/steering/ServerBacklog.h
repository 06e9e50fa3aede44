#ifndef REDWINGRACK_STEERING_SERVERBACKLOG_H
#define REDWINGRACK_STEERING_SERVERBACKLOG_H

#include "base/Clock.h"
#include "steering/LoadSample.h"
#include "steering/RequestCost.h"

#include <cstdint>
#include <vector>

namespace rr {

/// A request of this instance that a server has not answered yet.
struct RunningRequest {
  std::uint64_t Id = 0;
  Clock::time_point SentAt{};
  /// When it was expected to start.
  Clock::time_point StartsAt{};
  RequestCost Cost;
};

/// What an instance knows about the work that a server still has to do.
struct ServerBacklog {
  /// Oldest first; bounded, see addRunning().
  std::vector<RunningRequest> Own;
  std::uint64_t NextId = 1;
  /// Requests of other instances, running and waiting, in the last report.
  double Others = 0;
  Clock::time_point ReportedAt{};
  /// Whether there was a report.
  bool Known = false;
  /// Smoothed number of requests of other instances.
  double MeanOthers = 0;
  Clock::time_point MeanAt{};
  /// Last reported speed; 1 is usual.
  double WorkFactor = 1;
  Clock::time_point FactorAt{};
  /// Smoothed ratio of the observed work to the expected one, for servers that
  /// are slow for long.
  double Slowness = 1;
  Clock::time_point SlownessAt{};
};

/// Load that is assumed as far as there is no recent report.
struct UsualLoad {
  /// Mean work of a request at the service.
  Seconds Work{0};
  /// Mean number of requests of other instances at a server, by slot.
  double OthersPerSlot = 0;
};

/// Adds a request that is sent now and returns the Id that it gets. At most 64
/// are kept.
std::uint64_t addRunning(ServerBacklog &Backlog, RunningRequest Request);
void removeRunning(ServerBacklog &Backlog, std::uint64_t Id);

/// Records a report that arrived with an answer. \p OwnRequests is the number
/// of this instance's requests at the server; those sent less than
/// \p RoundTrip ago are not part of the report.
void noteReport(ServerBacklog &Backlog, const LoadSample &Sample,
                int OwnRequests, Clock::duration RoundTrip,
                Clock::time_point Now);

/// Assumes a full queue after the server refused a request without a report.
void noteFull(ServerBacklog &Backlog, int Slots, Clock::time_point Now);

/// Records the ratio of observed to expected work.
void noteWorkRatio(ServerBacklog &Backlog, double Ratio, Clock::time_point Now);

/// Ratio of the server's long-term work to the expected one; decays to 1.
double lastingSlowness(const ServerBacklog &Backlog, Clock::time_point Now);

/// Reported speed, decayed to usual.
double currentWorkFactor(const ServerBacklog &Backlog, Clock::time_point Now);

/// Time that \p Work takes on a machine on which work takes \p Factor times as
/// long at first, and usual time after a short slow phase; and its inverse.
Seconds slowedWork(Seconds Work, double Factor);
Seconds usualWork(Seconds Observed, double Factor);

struct BacklogEstimate {
  /// Requests of other instances, running and waiting.
  double Others = 0;
  /// Time at usual speed until a slot is free for one more request.
  Seconds Wait{0};
};

/// Expected backlog of a server. \p OwnRequests as for noteReport().
BacklogEstimate estimateBacklog(const ServerBacklog &Backlog, int Slots,
                                int OwnRequests, const UsualLoad &Usual,
                                Clock::time_point Now);

} // namespace rr

#endif // REDWINGRACK_STEERING_SERVERBACKLOG_H
