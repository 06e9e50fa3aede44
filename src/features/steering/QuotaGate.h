#ifndef REDWINGRACK_STEERING_QUOTAGATE_H
#define REDWINGRACK_STEERING_QUOTAGATE_H

#include "base/Clock.h"
#include "limits/TokenBucket.h"
#include "steering/MemberView.h"
#include "steering/QuotaBounds.h"
#include "steering/SteeringWorkspace.h"

#include <map>
#include <string>

namespace rr {

/// Holds each workspace to this instance's part of its rate.
class QuotaGate {
public:
  /// Takes one request of the workspace. Returns how long until there is room
  /// when it is beyond the rate, and zero when it may run.
  Clock::duration take(const SteeringWorkspace &Workspace,
                       const MemberView &Members, const QuotaBounds &Bounds,
                       Clock::time_point Now);

  /// Gives back what take() took for a request that was not run.
  void giveBack(const SteeringWorkspace &Workspace);

  /// Requests a second that each workspace sends here.
  std::map<std::string, double> demand(Clock::time_point Now) const;

private:
  struct Account {
    explicit Account(Clock::time_point Now) : Bucket(Now), DemandAt(Now) {}
    TokenBucket Bucket;
    Clock::time_point AdjustedAt{};
    /// Smoothed requests a second at DemandAt.
    double Demand = 0;
    Clock::time_point DemandAt;
  };
  static double demandOf(const Account &Item, Clock::time_point Now);

  std::map<std::string, Account> Accounts;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_QUOTAGATE_H
