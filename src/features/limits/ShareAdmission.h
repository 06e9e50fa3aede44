#ifndef REDWINGRACK_LIMITS_SHAREADMISSION_H
#define REDWINGRACK_LIMITS_SHAREADMISSION_H

#include "limits/AdmissionActions.h"
#include "limits/BorrowPlanner.h"
#include "limits/DemandMeter.h"
#include "limits/ShareLedger.h"

#include <deque>

namespace rr {

/// Admits requests against the ledger. A request that finds no token waits for
/// a borrowed one before it is refused.
class ShareAdmission {
public:
  ShareAdmission(ShareLedger &Ledger, DemandMeter &Meter,
                 BorrowPlanner &Planner)
      : Ledger(Ledger), Meter(Meter), Planner(Planner) {}

  /// Handles a new request of \p Workspace. \p Id is unique among the waiting
  /// requests.
  AdmissionActions submit(const std::string &Workspace, std::uint64_t Id,
                          Clock::time_point Now);
  /// Passes a received grant to the ledger and admits waiting requests.
  AdmissionActions receive(const ShareGrant &Grant, Clock::time_point Now);
  /// Processes all queues. Called at the time of nextWake() and after other
  /// changes of the ledger.
  AdmissionActions wake(Clock::time_point Now);
  /// Removes a waiting request whose caller disconnected.
  void cancel(const std::string &Workspace, std::uint64_t Id);

  /// Next time at which wake() must be called; empty while no request waits.
  std::optional<Clock::time_point> nextWake(Clock::time_point Now);

  /// True while a request of \p Workspace waits for tokens.
  bool isWaitingForTokens(const std::string &Workspace) const;

  /// Maximum time that a request waits for a token: two round trips between
  /// regions.
  static constexpr std::chrono::milliseconds MaxWait{150};
  /// Time without an answer after which borrow requests count as lost.
  static constexpr std::chrono::milliseconds BorrowTimeout{100};
  /// Period of future demand that a borrow covers, so that one message serves
  /// many requests until the balancer moves the rate.
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
    /// Borrowed burst that is returned to its lender after use, and its epoch.
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
