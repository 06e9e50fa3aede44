#ifndef REDWINGRACK_LIMITS_SHARELEDGER_H
#define REDWINGRACK_LIMITS_SHARELEDGER_H

#include "limits/BorrowRequest.h"
#include "limits/GrantDeduplicator.h"
#include "limits/GrantResult.h"
#include "limits/ShareAccount.h"
#include "limits/ShareAllocation.h"
#include "limits/ShareGrant.h"
#include "limits/ShareRelease.h"
#include "limits/WorkspaceDemand.h"

#include <optional>
#include <vector>

namespace rr {

/// The shares that this instance holds. Over the whole fleet the sum of all
/// held and travelling rates, bursts and tokens never exceeds the allowance of
/// a workspace, whatever messages are lost, repeated, late or out of order.
///
/// Every \p Now is read after the message that the call is about arrived; an
/// older reading would let an epoch's increases become usable too early.
class ShareLedger {
public:
  ShareLedger(ShareHolder Self, Clock::time_point Now);

  /// Takes over the division of a newer epoch: decreases at once, increases
  /// after EpochBarrierTime or confirmBarrier(). Stale for an epoch that is
  /// not newer or was written under an older lease; Malformed. A newer revision
  /// of the present epoch only lists more holders.
  Outcome<void> adopt(const ShareAllocation &Allocation, Clock::time_point Now);
  /// Makes the increases of \p Epoch usable: every holder of the epoch before
  /// has acknowledged, or its process has ended.
  void confirmBarrier(std::uint64_t Epoch, Clock::time_point Now);

  /// Notes a freshness proof that holds until \p Until for control state with
  /// share epoch \p Epoch. Ignored when that epoch is not adopted yet.
  void renewProof(std::uint64_t Epoch, Clock::time_point Until,
                  Clock::time_point Now);
  bool isFresh(Clock::time_point Now) const;
  /// False until the epoch lists this run; it cannot receive shares before.
  bool isListed() const { return this->Holders.contains(this->Self); }
  /// Number of holders that the workspace's burst is divided among.
  std::size_t numPrimaryHolders(const std::string &Workspace) const;
  /// True when the workspace has fewer numPrimaryHolders than holders. Borrowed
  /// capacity goes back then as soon as it is used.
  bool hasConcentratedBurst(const std::string &Workspace) const;

  /// Takes one token. Stale without a proof, NotFound for an unknown
  /// workspace, LimitReached when there is no whole token.
  Outcome<void> tryAdmit(const std::string &Workspace, Clock::time_point Now);

  /// Subtracts what a relay asked for and returns the grant to send. Stale
  /// without a proof or for another epoch, NotFound for an unknown workspace
  /// or a receiver that the epoch does not list, Unauthorized when the request
  /// is for somebody else, LimitReached when nothing is above the part to keep.
  Outcome<ShareGrant> release(const ShareRelease &Request,
                              Clock::time_point Now);
  /// Answers a borrow request. \p OwnDemand keeps back what this instance
  /// needs for LendReserveTime; \p LacksTokens says that it lacks tokens
  /// itself. The grant is zero when nothing can be spared. Errors as for
  /// release().
  Outcome<ShareGrant> lend(const BorrowRequest &Request,
                           MicroRequests OwnDemand, bool LacksTokens,
                           Clock::time_point Now);
  /// Gives \p Burst of borrowed capacity back, with the tokens left in it.
  /// Errors as for release().
  Outcome<ShareGrant> returnBorrowed(const std::string &Workspace,
                                     const ShareHolder &Lender,
                                     MicroRequests Burst,
                                     Clock::time_point Now);
  /// Gives everything away on leave, divided among \p Peers by workspace.
  std::vector<ShareGrant> releaseAll(const std::vector<ShareHolder> &Peers,
                                     Clock::time_point Now);
  /// Adds a grant once.
  GrantResult receive(const ShareGrant &Grant, Clock::time_point Now);

  /// Time until a whole token is there; none when never or not known.
  std::optional<Clock::duration> timeUntilToken(const std::string &Workspace,
                                                Clock::time_point Now);
  ShareAmount held(const std::string &Workspace, Clock::time_point Now);
  /// What is held of every workspace, for a demand report.
  std::vector<WorkspaceDemand> report(Clock::time_point Now);

  const ShareHolder &self() const { return this->Self; }
  std::uint64_t epoch() const { return this->Epoch; }

  /// Time for which a lender keeps back tokens for its own demand.
  static constexpr std::chrono::milliseconds LendReserveTime{100};

private:
  ShareAccount *refilledAccount(const std::string &Workspace,
                                Clock::time_point Now);
  void refill(ShareAccount &Account, Clock::time_point Now);
  void applyIncreases(Clock::time_point Now);
  Outcome<ShareAccount *> accountForGrant(const ShareHolder &Giver,
                                          const ShareHolder &Receiver,
                                          std::uint64_t RequestEpoch,
                                          const std::string &Workspace,
                                          Clock::time_point Now);
  ShareGrant withdrawShare(ShareAccount &Account, const std::string &Workspace,
                           const ShareHolder &Receiver, ShareAmount Amount,
                           Clock::time_point Now);

  ShareHolder Self;
  std::uint64_t Epoch = 0;
  std::uint64_t Revision = 0;
  std::uint64_t Fence = 0;
  std::uint64_t LastSequence = 0;
  std::set<ShareHolder> Holders;
  std::map<std::string, ShareAccount> Accounts;
  GrantDeduplicator ReceivedGrants;
  Clock::time_point ProofExpiry;
  std::optional<Clock::time_point> IncreaseTime;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_SHARELEDGER_H
