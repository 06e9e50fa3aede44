#ifndef REDWINGRACK_LIMITS_SHAREADMISSION_H
#define REDWINGRACK_LIMITS_SHAREADMISSION_H

#include "limits/AdmissionActions.h"
#include "limits/BorrowPlanner.h"
#include "limits/DemandMeter.h"
#include "limits/ShareLedger.h"

#include <deque>

namespace rr {

/// Admits requests against the ledger, and lets those that find no token wait
/// for a borrowed one before they are refused.
class ShareAdmission {
public:
  ShareAdmission(ShareLedger &Ledger, DemandMeter &Meter,
                 BorrowPlanner &Planner)
      : Ledger(Ledger), Meter(Meter), Planner(Planner) {}

  /// A request of \p Workspace came. \p Id is unique among those waiting.
  AdmissionActions submit(const std::string &Workspace, std::uint64_t Id,
                          Clock::time_point Now);
  /// A grant came. Passes it to the ledger, and serves those that wait.
  AdmissionActions receive(const ShareGrant &Grant, Clock::time_point Now);
  /// The time of nextWake() has come, or the ledger changed otherwise.
  AdmissionActions wake(Clock::time_point Now);
  /// The caller of a waiting request went away.
  void cancel(const std::string &Workspace, std::uint64_t Id);

  /// When wake() has something to do; none while nothing waits.
  std::optional<Clock::time_point> nextWake(Clock::time_point Now);

  /// True while a request of \p Workspace waits for tokens.
  bool isWaitingForTokens(const std::string &Workspace) const;

  /// Longest wait for a token: two round trips between regions.
  static constexpr std::chrono::milliseconds MaxWait{150};
  /// Time after which a borrow request counts as lost.
  static constexpr std::chrono::milliseconds BorrowTimeout{100};
  /// Demand that a borrow covers in advance, so that one message serves many
  /// requests until the balancer moves the rate.
  static constexpr std::chrono::milliseconds BorrowHorizon{250};
  static constexpr std::size_t MaxWaitingRequests = 256;

private:
  struct WaitingRequest {
    std::uint64_t Id;
    Clock::time_point Deadline;
  };
  struct Queue {
    std::deque<WaitingRequest> Requests;
    std::size_t PendingBorrows = 0;
    Clock::time_point BorrowDeadline;
    /// Borrowed burst that goes back to its lender after use, and its epoch.
    std::map<ShareHolder, MicroRequests> Loans;
    std::uint64_t LoanEpoch = 0;
  };

  void processQueue(const std::string &Workspace, Queue &Entry,
                    Clock::time_point Now, AdmissionActions &Actions);
  void borrow(const std::string &Workspace, Queue &Entry, Clock::time_point Now,
              AdmissionActions &Actions);
  void returnLoans(const std::string &Workspace, Queue &Entry,
                   Clock::time_point Now, AdmissionActions &Actions);
  void refuseUnservable(const std::string &Workspace, Queue &Entry,
                        Clock::time_point Now, AdmissionActions &Actions);

  ShareLedger &Ledger;
  DemandMeter &Meter;
  BorrowPlanner &Planner;
  std::map<std::string, Queue> Queues;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_SHAREADMISSION_H
