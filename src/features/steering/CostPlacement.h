#ifndef REDWINGRACK_STEERING_COSTPLACEMENT_H
#define REDWINGRACK_STEERING_COSTPLACEMENT_H

#include "base/Random.h"
#include "steering/BackendPool.h"
#include "steering/CompletionEstimate.h"
#include "steering/CostModel.h"
#include "steering/Placement.h"
#include "steering/PlacementQuery.h"
#include "steering/PlacementRule.h"
#include "steering/RoundTripTimes.h"
#include "steering/ServerIndex.h"
#include "steering/ServiceLoad.h"

#include <map>
#include <string>

namespace rr {

/// Chooses the server that is expected to complete a request first, among the
/// home servers of its object and a few random ones. Learns costs and loads
/// from answers.
class CostPlacement {
public:
  explicit CostPlacement(std::uint64_t Seed) : Random(Seed) {}

  /// Whether the servers of the service report the speed of their machines.
  bool hasWorkFactors(const std::string &Service) const;

  Placement choose(const PlacementQuery &Query, const BackendPool &Pool,
                   const RoundTripTimes &Network, const RequestPermit &Permit,
                   Clock::time_point Now);

  /// Expected wait and work at one server, which need not be eligible.
  CompletionEstimate estimateCompletion(const PlacementQuery &Query,
                                        const BackendPtr &Server,
                                        const BackendPool &Pool,
                                        const RoundTripTimes &Network,
                                        Clock::time_point Now);

  /// Records a report that came with an answer; the request that was answered
  /// no longer counts in the server's InFlight.
  void noteReport(BackendState &Server, const LoadSample &Sample,
                  Clock::duration RoundTrip, Clock::time_point Now);
  /// Records a successful answer that came \p Time after the request was sent,
  /// with its report.
  void noteAnswer(const PlacementQuery &Query, const Placement &Decision,
                  Clock::duration Time, Clock::duration RoundTrip,
                  const LoadSample &Sample, std::size_t AnswerBytes,
                  Clock::time_point Now);

private:
  ServiceLoad &loadOf(const std::string &Service);
  QueryCost costOf(const PlacementQuery &Query, Clock::time_point Now);
  /// Usual requests of others by slot at the service's servers of \p Region. A
  /// region that no report came from must not be taken for as loaded as the
  /// own: nothing would be sent there, so that no report ever came.
  double usualOthersIn(const std::string &Region, const PlacementQuery &Query,
                       Clock::time_point Now);

  CostModel Costs;
  ServerIndex Servers;
  std::map<std::string, ServiceLoad, std::less<>> Loads;
  RandomEngine Random;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_COSTPLACEMENT_H
