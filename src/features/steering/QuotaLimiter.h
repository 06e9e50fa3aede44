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

/// Limits each workspace to this instance's share of its rate. Tokens accrue at
/// that share, and instances may transfer them to each other. Tokens are
/// withdrawn before they are transferred, so that none is used twice even if
/// instances disagree on their roles.
class QuotaLimiter {
public:
  /// Takes a token for one request. Returns zero if the request may run,
  /// otherwise the estimated time until a token is available.
  Clock::duration acquire(const SteeringWorkspace &Workspace,
                          const MemberView &Members, const QuotaBounds &Bounds,
                          Clock::time_point Now);

  /// Begins the tenure of a share after an earlier one has ended. Tokens of the
  /// earlier one are dropped: all of them if the share was \p Redistributed,
  /// since others collected tokens with it, otherwise those beyond what an
  /// instance has when its fleet starts. Does nothing if \p Tenure is current.
  void beginTenure(std::uint64_t Tenure, bool Redistributed,
                   Clock::time_point Now);

  /// Returns the token that acquire() took for a request that was not run.
  void refund(const SteeringWorkspace &Workspace);

  /// Sets this instance's role for a workspace in \p Region.
  void setRole(const SteeringWorkspace &Workspace, QuotaRole Role,
               const std::string &Region, const MemberView &Members,
               const QuotaBounds &Bounds, Clock::time_point Now);
  /// Withdraws a member's tokens beyond its reserve, for the region's holder.
  /// Returns 0 in other roles.
  MicroRequests takeMemberSurplus(const std::string &Workspace,
                                  Clock::time_point Now);
  /// Withdraws a holder's tokens beyond its stock level, for other regions.
  /// Returns 0 in other roles.
  MicroRequests takeHolderSurplus(const std::string &Workspace,
                                  Clock::time_point Now);
  /// Adds tokens from another instance; those beyond the capacity are lost.
  void deposit(const std::string &Workspace, MicroRequests Amount);
  /// Withdraws up to \p Wanted tokens, but at least one request, for another
  /// instance. Grants nothing if less than one request is available.
  QuotaGrant grant(const std::string &Workspace, MicroRequests Wanted,
                   Clock::time_point Now);
  /// Amount that a member requests at once, to avoid a message per request.
  MicroRequests batchSize(const std::string &Workspace,
                          Clock::time_point Now) const;

  /// Requests per second to this instance, by workspace.
  std::map<std::string, double> demand(Clock::time_point Now) const;

private:
  struct Account {
    explicit Account(Clock::time_point Now) : Bucket(Now), DemandAt(Now) {}
    TokenBucket Bucket;
    QuotaRole Role = QuotaRole::Independent;
    /// Region that the holder serves.
    std::string Region;
    Clock::time_point AdjustedAt{};
    /// Until then a predecessor may still act as the holder.
    Clock::time_point SoleHolderFrom{};
    /// Tokens of this instance when its fleet starts.
    MicroRequests StartTokens = 0;
    /// Smoothed requests per second at DemandAt.
    double Demand = 0;
    Clock::time_point DemandAt;
    /// Expected token inflow in requests per second, including transfers.
    double InflowRate = 0;
    /// Limit of a member's reserve, in requests.
    double MaxReserve = 0;
  };
  static double decayedDemand(const Account &Item, Clock::time_point Now);
  /// Reserve that a member keeps for its own requests.
  static double memberReserve(const Account &Item, Clock::time_point Now);
  Account &accountOf(const SteeringWorkspace &Workspace,
                     const MemberView &Members, const QuotaBounds &Bounds,
                     Clock::time_point Now);
  static void updateLimits(Account &Item, const SteeringWorkspace &Workspace,
                           const MemberView &Members, const QuotaBounds &Bounds,
                           Clock::time_point Now);

  std::map<std::string, Account> Accounts;
  std::uint64_t Tenure = 0;
  /// Others used the share of this instance before the current tenure.
  bool Redistributed = false;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_QUOTALIMITER_H
