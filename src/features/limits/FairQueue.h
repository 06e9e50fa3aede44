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
/// by their rates, with a maximum length per workspace.
class FairQueue {
public:
  explicit FairQueue(std::size_t MaxPerWorkspace)
      : MaxPerWorkspace(MaxPerWorkspace) {}

  /// Sets the weight of a workspace, for example its rate. The weight is 1 if
  /// none is set or if it is not positive.
  void setWeight(const std::string &Workspace, double Weight);

  /// Returns LimitReached when the workspace's queue is full, Timeout when the
  /// estimated wait exceeds the deadline. In both cases the request was not
  /// executed.
  Outcome<void> push(QueuedRequest Request, Clock::time_point Now);
  /// Returns the next request to dispatch. Requests past their deadline are
  /// moved to \p Expired; they were not executed.
  std::optional<QueuedRequest> pop(Clock::time_point Now,
                                   std::vector<QueuedRequest> &Expired);
  /// Removes a request whose caller disconnected. Returns false if it is not
  /// queued.
  bool cancel(const std::string &Workspace, std::uint64_t Id);

  /// Estimated wait of a new request of \p Workspace, from the average time
  /// between dispatches and the weights of the waiting workspaces. Zero until
  /// the time between dispatches has been measured.
  Clock::duration estimatedWait(const std::string &Workspace,
                                Clock::time_point Now) const;

  std::size_t size() const { return this->Size; }

private:
  struct Flow {
    double Weight = 1;
    /// Number of requests that may be dispatched before the next credit.
    double Deficit = 0;
    /// Value of FairQueue::Round when the flow last became idle.
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
  /// Workspaces with waiting requests, in round-robin order.
  std::deque<std::string> Active;
  /// Whether the front of Active has received the credit for its current visit.
  bool FrontCredited = false;
  /// Completed rounds. A visit adds 1 / Active.size() of a round.
  double Round = 0;
  std::optional<Clock::time_point> LastDispatch;
  std::optional<Clock::duration> DispatchInterval;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_FAIRQUEUE_H
