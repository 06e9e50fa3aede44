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

/// Ledger of the shares that this instance holds. Over the whole fleet, the sum
/// of all rates, bursts and tokens held or in transit never exceeds the
/// allowance of a workspace, even if messages are lost, duplicated, delayed or
/// reordered.
///
/// \p Now must be read after the arrival of the message that a call handles.
/// With an earlier value, increases of an epoch would become usable too early.
class ShareLedger {
public:
  ShareLedger(ShareHolder Self, Clock::time_point Now);

  /// Adopts the allocation of a newer epoch: decreases apply at once, increases
  /// after EpochBarrierTime or confirmBarrier(). A newer revision of the
  /// current epoch only lists more holders. Returns Stale if the epoch is not
  /// newer or was written under an older lease, Malformed if the allocation is
  /// invalid.
  Outcome<void> adopt(const ShareAllocation &Allocation, Clock::time_point Now);
  /// Makes the increases of \p Epoch usable. Called when every holder of the
  /// previous epoch has acknowledged or its process has ended.
  void confirmBarrier(std::uint64_t Epoch, Clock::time_point Now);

  /// Records a freshness proof, valid until \p Until, of control state with
  /// share epoch \p Epoch. Ignored if that epoch is not adopted yet.
  void renewProof(std::uint64_t Epoch, Clock::time_point Until,
                  Clock::time_point Now);
  bool isFresh(Clock::time_point Now) const;
  /// False until the epoch lists this run. Before that it cannot receive
  /// shares.
  bool isListed() const { return this->Holders.contains(this->Self); }
  /// Number of holders among which the workspace's burst is divided.
  std::size_t numPrimaryHolders(const std::string &Workspace) const;
  /// True if the workspace has fewer primary holders than holders. Borrowed
  /// capacity is then returned right after use.
  bool hasConcentratedBurst(const std::string &Workspace) const;

  /// Takes one token. Returns Stale without a freshness proof, NotFound for an
  /// unknown workspace, LimitReached if there is no whole token.
  Outcome<void> tryAdmit(const std::string &Workspace, Clock::time_point Now);

  /// Subtracts the shares that a relay requested and returns the grant to send.
  /// Returns Stale without a freshness proof or for another epoch, NotFound for
  /// an unknown workspace or a receiver that the epoch does not list,
  /// Unauthorized if the giver is not this instance or the receiver is,
  /// LimitReached if the share does not exceed the part to keep.
  Outcome<ShareGrant> release(const ShareRelease &Request,
                              Clock::time_point Now);
  /// Answers a borrow request. The ledger reserves tokens for \p OwnDemand over
  /// LendReserveTime. \p LacksTokens means that requests here wait for tokens
  /// as well. The grant is zero if nothing can be lent. Errors as for
  /// release().
  Outcome<ShareGrant> lend(const BorrowRequest &Request,
                           MicroRequests OwnDemand, bool LacksTokens,
                           Clock::time_point Now);
  /// Returns \p Burst of borrowed capacity to \p Lender, with the tokens left
  /// in it. Errors as for release().
  Outcome<ShareGrant> returnBorrowed(const std::string &Workspace,
                                     const ShareHolder &Lender,
                                     MicroRequests Burst,
                                     Clock::time_point Now);
  /// Releases all shares before this instance leaves; each workspace goes to
  /// one of \p Peers in turn.
  std::vector<ShareGrant> releaseAll(const std::vector<ShareHolder> &Peers,
                                     Clock::time_point Now);
  /// Adds a grant to the held shares; duplicates are ignored.
  GrantResult receive(const ShareGrant &Grant, Clock::time_point Now);

  /// Time until a whole token is available; empty if that never happens or is
  /// unknown.
  std::optional<Clock::duration> timeUntilToken(const std::string &Workspace,
                                                Clock::time_point Now);
  ShareAmount held(const std::string &Workspace, Clock::time_point Now);
  /// Held shares of every workspace, for a demand report. Demand is left at
  /// zero.
  std::vector<WorkspaceDemand> report(Clock::time_point Now);

  const ShareHolder &self() const { return this->Self; }
  std::uint64_t epoch() const { return this->Epoch; }

  /// Period of own demand for which a lender keeps tokens.
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
