#ifndef REDWINGRACK_STEERING_QUOTALIMITER_H
#define REDWINGRACK_STEERING_QUOTALIMITER_H

#include "base/Clock.h"
#include "limits/TokenBucket.h"
#include "steering/MemberView.h"
#include "steering/QuotaBounds.h"
#include "steering/QuotaGrant.h"
#include "steering/QuotaRole.h"
#include "steering/SteeringWorkspace.h"

#include <map>
#include <string>

namespace rr {

/// Holds each workspace to this instance's part of its rate, as tokens that
/// accrue at that part and that instances may pass on to each other. Who gives
/// tokens away has taken them out first, so that instances which disagree on
/// their roles cannot use any twice.
class QuotaLimiter {
public:
  /// Takes one request of the workspace. Returns how long until there is room
  /// when it is beyond the rate, and zero when it may run.
  Clock::duration acquire(const SteeringWorkspace &Workspace,
                          const MemberView &Members, const QuotaBounds &Bounds,
                          Clock::time_point Now);

  /// Gives back what acquire() took for a request that was not run.
  void refund(const SteeringWorkspace &Workspace);

  /// Sets the role for a workspace, for the instances of \p Region.
  void setRole(const SteeringWorkspace &Workspace, QuotaRole Role,
               const std::string &Region, const MemberView &Members,
               const QuotaBounds &Bounds, Clock::time_point Now);
  /// Takes out what a member does not need soon, for its holder.
  MicroRequests takeMemberSurplus(const std::string &Workspace,
                                  Clock::time_point Now);
  /// Takes out what a holder has beyond a good stock, for other regions.
  MicroRequests takeHolderSurplus(const std::string &Workspace,
                                  Clock::time_point Now);
  /// Adds what another instance passed on; what does not fit is lost.
  void deposit(const std::string &Workspace, MicroRequests Amount);
  /// Takes out up to \p Wanted, and a whole request at least, for another
  /// instance.
  QuotaGrant grant(const std::string &Workspace, MicroRequests Wanted,
                   Clock::time_point Now);
  /// What a member asks for at once, so that it need not ask for each request.
  MicroRequests batchSize(const std::string &Workspace,
                          Clock::time_point Now) const;

  /// Requests a second that each workspace sends here.
  std::map<std::string, double> demand(Clock::time_point Now) const;

private:
  struct Account {
    explicit Account(Clock::time_point Now) : Bucket(Now), DemandAt(Now) {}
    TokenBucket Bucket;
    QuotaRole Role = QuotaRole::Independent;
    /// Of the instances that the holder holds for.
    std::string Region;
    Clock::time_point AdjustedAt{};
    /// Smoothed requests a second at DemandAt.
    double Demand = 0;
    Clock::time_point DemandAt;
    /// Requests a second that come in as tokens, from others too.
    double InflowRate = 0;
    /// A member keeps no more than this for its own requests.
    double MaxReserve = 0;
  };
  static double decayedDemand(const Account &Item, Clock::time_point Now);
  /// Requests that a member keeps for the next moments.
  static double memberReserve(const Account &Item, Clock::time_point Now);
  Account &accountOf(const SteeringWorkspace &Workspace,
                     const MemberView &Members, const QuotaBounds &Bounds,
                     Clock::time_point Now);
  static void updateLimits(Account &Item, const SteeringWorkspace &Workspace,
                           const MemberView &Members, const QuotaBounds &Bounds,
                           Clock::time_point Now);

  std::map<std::string, Account> Accounts;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_QUOTALIMITER_H
