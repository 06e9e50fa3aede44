#ifndef REDWINGRACK_PLANS_ROLLOUTWATCH_H
#define REDWINGRACK_PLANS_ROLLOUTWATCH_H

#include "plans/VersionReport.h"
#include "rollout/VersionComparison.h"

#include <optional>
#include <string>
#include <vector>

namespace rr {

/// The lease holder's own view of one rollout, from the reports of all
/// instances.
class RolloutWatch {
public:
  RolloutWatch(std::string Plan, std::string Stable, std::string Candidate);

  /// Says how many steps are done; a new number begins a stage.
  void enterStage(std::size_t StepsDone);

  void update(const std::vector<VersionReport> &Reports, Clock::time_point At);

  /// Evidence against the candidate; stays once it was found.
  const std::optional<std::string> &evidence() const { return this->Evidence; }

  /// Requests of the candidate since the watch first saw this stage.
  std::uint64_t requestsInStage() const {
    return this->Comparison.candidateRequests() - this->RequestsBefore;
  }

private:
  std::string Plan;
  VersionComparison Comparison;
  std::optional<std::string> Evidence;
  std::optional<std::size_t> Stage;
  std::uint64_t RequestsBefore = 0;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_ROLLOUTWATCH_H
