#ifndef REDWINGRACK_LIMITS_FAIRQUEUE_H
#define REDWINGRACK_LIMITS_FAIRQUEUE_H

#include "base/Outcome.h"
#include "limits/QueuedRequest.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace rr {

/// Queue in front of a service: deficit round robin over workspaces, weighted
/// by their rates, with a bound for each workspace.
class FairQueue {
public:
  explicit FairQueue(std::size_t MaxPerWorkspace)
      : MaxPerWorkspace(MaxPerWorkspace) {}

  /// Sets the weight of a workspace, for example its rate. Workspaces without
  /// a weight, or with one that is not positive, count as weight 1.
  void setWeight(const std::string &Workspace, double Weight);

  /// LimitReached when the workspace's queue is full, Timeout when the
  /// estimated wait ends after the deadline. The request never ran then.
  Outcome<void> push(QueuedRequest Request, Clock::time_point Now);
  /// The next request to dispatch. Requests whose deadline passed are moved to
  /// \p Expired instead; they never ran.
  std::optional<QueuedRequest> pop(Clock::time_point Now,
                                   std::vector<QueuedRequest> &Expired);
  /// Removes a request whose caller went away; false when it is not queued.
  bool cancel(const std::string &Workspace, std::uint64_t Id);

  /// Wait that a request of \p Workspace has before it, from the measured time
  /// between dispatches and the weights of the waiting workspaces. Zero until
  /// a time between dispatches is known.
  Clock::duration estimatedWait(const std::string &Workspace,
                                Clock::time_point Now) const;

  std::size_t size() const { return this->Size; }

private:
  struct Flow {
    double Weight = 1;
    /// Requests that may be dispatched before the next credit.
    double Deficit = 0;
    /// Round at which the flow last became idle.
    double IdleSinceRound = 0;
    std::deque<QueuedRequest> Waiting;
  };

  double maxActiveWeight() const;
  void activate(const std::string &Name, Flow &Entry);
  void endVisit(bool KeepActive);
  void dropExpired(Flow &Entry, Clock::time_point Now,
                   std::vector<QueuedRequest> &Expired);
  void recordDispatch(Clock::time_point Now);

  std::size_t MaxPerWorkspace;
  std::size_t Size = 0;
  std::map<std::string, Flow> Flows;
  /// Workspaces with waiting requests, in the order of the round.
  std::deque<std::string> Active;
  /// True when the front of Active already had the credit of this visit.
  bool FrontCredited = false;
  /// Rounds made so far; a visit counts as one part of a round.
  double Round = 0;
  std::optional<Clock::time_point> LastDispatch;
  std::optional<Clock::duration> DispatchInterval;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_FAIRQUEUE_H
