#include "plans/RolloutWatch.h"

#include <utility>

namespace rr {

RolloutWatch::RolloutWatch(std::string Plan, std::string Stable,
                           std::string Candidate)
    : Plan(std::move(Plan)),
      Comparison(std::move(Stable), std::move(Candidate)) {}

void RolloutWatch::update(const std::vector<VersionReport> &Reports,
                          Clock::time_point At) {
  for (const VersionReport &Item : Reports)
    if (Item.Stats.Plan == this->Plan)
      this->Comparison.observe(Item.Instance, Item.Stats, At);
  if (this->Evidence)
    return;
  if (const auto Verdict = this->Comparison.check(At))
    this->Evidence = Verdict->Text;
}

void RolloutWatch::enterStage(std::size_t StepsDone) {
  if (this->Stage == StepsDone)
    return;
  this->Stage = StepsDone;
  this->RequestsBefore = this->Comparison.candidateRequests();
  this->Comparison.resetWindows();
}

} // namespace rr
