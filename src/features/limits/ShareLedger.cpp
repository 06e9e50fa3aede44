#include "limits/ShareLedger.h"

#include "limits/Apportion.h"

#include <algorithm>
#include <utility>

namespace rr {

namespace {

__extension__ using Int128 = __int128;

/// \p Amount * \p Numerator / \p Denominator, rounded down.
MicroRequests mulDiv(MicroRequests Amount, MicroRequests Numerator,
                     MicroRequests Denominator) {
  return Denominator == 0
             ? 0
             : MicroRequests(Int128(Amount) * Numerator / Denominator);
}

bool isValid(const ShareAmount &Amount) {
  return Amount.Rate >= 0 && Amount.Rate <= MaxAmount && Amount.Tokens >= 0 &&
         Amount.Tokens <= Amount.Burst && Amount.Burst <= MaxAmount;
}

ShareAmount heldAmount(const ShareAccount &Account) {
  return {Account.Bucket.rate(), Account.Bucket.capacity(),
          Account.Bucket.tokens()};
}

/// Tokens that move with \p Burst: a proportional part, but at least the tokens
/// that exceed the remaining capacity.
MicroRequests tokensForBurst(const ShareAmount &Held, MicroRequests Burst) {
  return std::max(mulDiv(Held.Tokens, Burst, Held.Burst),
                  Held.Tokens - (Held.Burst - Burst));
}

} // namespace

ShareLedger::ShareLedger(ShareHolder Self, Clock::time_point Now)
    : Self(std::move(Self)), ProofExpiry(Now) {}

Outcome<void> ShareLedger::adopt(const ShareAllocation &Allocation,
                                 Clock::time_point Now) {
  if (const Outcome<void> Checked = checkAllocation(Allocation); !Checked)
    return Checked;
  const bool IsRevision =
      Allocation.Epoch == this->Epoch && Allocation.Revision > this->Revision;
  if (Allocation.Fence < this->Fence ||
      (Allocation.Epoch <= this->Epoch && !IsRevision))
    return failure(Errc::Stale);
  this->Holders = Allocation.Holders;
  this->Revision = Allocation.Revision;
  this->Fence = Allocation.Fence;
  if (IsRevision)
    return {};
  this->applyIncreases(Now);
  // After a skipped epoch, other instances may already use the shares held here
  // and may have spent the tokens, so all of them are dropped.
  const bool Successive = Allocation.Epoch == this->Epoch + 1;
  std::map<std::string, ShareAccount> NewAccounts;
  for (const auto &[Name, Workspace] : Allocation.Workspaces) {
    const ShareAmount Target = shareOf(Allocation, Name, this->Self);
    ShareAccount Account(Now);
    const auto OldAccount = this->Accounts.find(Name);
    if (Successive && OldAccount != this->Accounts.end()) {
      this->refill(OldAccount->second, Now);
      Account = OldAccount->second;
    }
    TokenBucket &Bucket = Account.Bucket;
    Bucket.setRate(std::min(Bucket.rate(), Target.Rate), Now);
    Bucket.setCapacity(std::min(Bucket.capacity(), Target.Burst), Now);
    Account.Total = Workspace.Total;
    Account.PendingIncrease = {Target.Rate - Bucket.rate(),
                               Target.Burst - Bucket.capacity(), 0};
    NewAccounts.emplace(Name, Account);
  }
  this->Accounts = std::move(NewAccounts);
  this->Epoch = Allocation.Epoch;
  this->ReceivedGrants.clear();
  this->IncreaseTime = Now + EpochBarrierTime;
  return {};
}

void ShareLedger::confirmBarrier(std::uint64_t Epoch, Clock::time_point Now) {
  if (Epoch != this->Epoch || !this->IncreaseTime)
    return;
  this->IncreaseTime = std::min(*this->IncreaseTime, Now);
  this->applyIncreases(Now);
}

void ShareLedger::applyIncreases(Clock::time_point Now) {
  if (!this->IncreaseTime || Now < *this->IncreaseTime)
    return;
  this->IncreaseTime.reset();
  for (auto &[Name, Account] : this->Accounts) {
    this->refill(Account, Now);
    TokenBucket &Bucket = Account.Bucket;
    Bucket.setRate(Bucket.rate() + Account.PendingIncrease.Rate, Now);
    Bucket.setCapacity(Bucket.capacity() + Account.PendingIncrease.Burst, Now);
    Account.PendingIncrease = {};
  }
}

void ShareLedger::renewProof(std::uint64_t Epoch, Clock::time_point Until,
                             Clock::time_point Now) {
  if (Epoch > this->Epoch)
    return;
  // Accounts for the gap since the previous proof before the new one applies.
  if (Now > this->ProofExpiry)
    for (auto &[Name, Account] : this->Accounts)
      this->refill(Account, Now);
  this->ProofExpiry = std::max(this->ProofExpiry, Until);
}

bool ShareLedger::isFresh(Clock::time_point Now) const {
  return this->Epoch != 0 && Now < this->ProofExpiry;
}

void ShareLedger::refill(ShareAccount &Account, Clock::time_point Now) {
  // No tokens accrue without a proof, since a new epoch may have given the rate
  // to another holder.
  Account.Bucket.refill(std::min(Now, this->ProofExpiry));
  Account.Bucket.skipTo(Now);
}

ShareAccount *ShareLedger::refilledAccount(const std::string &Workspace,
                                           Clock::time_point Now) {
  this->applyIncreases(Now);
  const auto Found = this->Accounts.find(Workspace);
  if (Found == this->Accounts.end())
    return nullptr;
  this->refill(Found->second, Now);
  return &Found->second;
}

Outcome<void> ShareLedger::tryAdmit(const std::string &Workspace,
                                    Clock::time_point Now) {
  if (!this->isFresh(Now))
    return failure(Errc::Stale);
  ShareAccount *Account = this->refilledAccount(Workspace, Now);
  if (!Account)
    return failure(Errc::NotFound);
  if (!Account->Bucket.tryTake(OneRequest, Now))
    return failure(Errc::LimitReached);
  return {};
}

Outcome<ShareAccount *> ShareLedger::accountForGrant(
    const ShareHolder &Giver, const ShareHolder &Receiver,
    std::uint64_t RequestEpoch, const std::string &Workspace,
    Clock::time_point Now) {
  if (Giver != this->Self || Receiver == this->Self)
    return failure(Errc::Unauthorized);
  if (RequestEpoch != this->Epoch || !this->isFresh(Now))
    return failure(Errc::Stale);
  ShareAccount *Account = this->refilledAccount(Workspace, Now);
  if (!Account || !this->Holders.contains(Receiver))
    return failure(Errc::NotFound);
  return Account;
}

ShareGrant ShareLedger::withdrawShare(ShareAccount &Account,
                                      const std::string &Workspace,
                                      const ShareHolder &Receiver,
                                      ShareAmount Amount,
                                      Clock::time_point Now) {
  TokenBucket &Bucket = Account.Bucket;
  Bucket.withdraw(Amount.Tokens);
  Bucket.setRate(Bucket.rate() - Amount.Rate, Now);
  Bucket.setCapacity(Bucket.capacity() - Amount.Burst, Now);
  return {this->Self, Receiver, ++this->LastSequence, this->Epoch, Workspace,
          Amount,     false};
}

Outcome<ShareGrant> ShareLedger::release(const ShareRelease &Request,
                                         Clock::time_point Now) {
  const auto Account = this->accountForGrant(
      Request.Giver, Request.Receiver, Request.Epoch, Request.Workspace, Now);
  if (!Account)
    return tl::unexpected(Account.error());
  const ShareAmount Held = heldAmount(**Account);
  const auto Surplus = [](MicroRequests Wanted, MicroRequests Current,
                          MicroRequests Keep) {
    return std::clamp(Current - std::max<MicroRequests>(Keep, 0),
                      MicroRequests{0}, std::max<MicroRequests>(Wanted, 0));
  };
  ShareAmount Amount;
  Amount.Rate = Surplus(Request.Amount.Rate, Held.Rate, Request.Keep.Rate);
  Amount.Burst = Surplus(Request.Amount.Burst, Held.Burst, Request.Keep.Burst);
  Amount.Tokens = tokensForBurst(Held, Amount.Burst);
  if (Amount.isZero())
    return failure(Errc::LimitReached);
  return this->withdrawShare(**Account, Request.Workspace, Request.Receiver,
                             Amount, Now);
}

Outcome<ShareGrant> ShareLedger::lend(const BorrowRequest &Request,
                                      MicroRequests OwnDemand, bool LacksTokens,
                                      Clock::time_point Now) {
  const auto Account = this->accountForGrant(
      Request.Lender, Request.Borrower, Request.Epoch, Request.Workspace, Now);
  if (!Account)
    return tl::unexpected(Account.error());
  const ShareAmount Held = heldAmount(**Account);
  const bool HoldsMoreTokens = Held.Tokens != Request.Gathered
                                   ? Held.Tokens > Request.Gathered
                                   : this->Self < Request.Borrower;
  // Reserving a fraction of a token would prevent lending whole ones.
  const MicroRequests Reserve =
      this->hasConcentratedBurst(Request.Workspace)
          ? 0
          : OwnDemand / (std::chrono::seconds(1) / LendReserveTime);
  MicroRequests Spare = 0;
  if (!LacksTokens)
    Spare = std::max<MicroRequests>(Held.Tokens - Reserve, 0);
  else if (!HoldsMoreTokens)
    Spare = Held.Tokens;
  ShareAmount Amount;
  Amount.Tokens = std::clamp(Request.Wanted, MicroRequests{0}, Spare);
  // Capacity moves with the tokens, and unneeded rate with the capacity:
  // without capacity, the bucket would waste the rate.
  Amount.Burst = Amount.Tokens;
  if (!this->hasConcentratedBurst(Request.Workspace))
    Amount.Rate = std::min(mulDiv(Held.Rate, Amount.Burst, Held.Burst),
                           std::max<MicroRequests>(Held.Rate - OwnDemand, 0));
  ShareGrant Grant = this->withdrawShare(**Account, Request.Workspace,
                                         Request.Borrower, Amount, Now);
  Grant.Borrowed = true;
  return Grant;
}

std::size_t ShareLedger::numPrimaryHolders(const std::string &Workspace) const {
  const auto Found = this->Accounts.find(Workspace);
  return Found == this->Accounts.end()
             ? 0
             : primaryHolderCount(Found->second.Total.Burst,
                                  this->Holders.size());
}

bool ShareLedger::hasConcentratedBurst(const std::string &Workspace) const {
  return this->numPrimaryHolders(Workspace) < this->Holders.size();
}

Outcome<ShareGrant> ShareLedger::returnBorrowed(const std::string &Workspace,
                                                const ShareHolder &Lender,
                                                MicroRequests Burst,
                                                Clock::time_point Now) {
  const auto Account =
      this->accountForGrant(this->Self, Lender, this->Epoch, Workspace, Now);
  if (!Account)
    return tl::unexpected(Account.error());
  const ShareAmount Held = heldAmount(**Account);
  ShareAmount Amount;
  Amount.Burst = std::clamp(Burst, MicroRequests{0}, Held.Burst);
  Amount.Tokens = tokensForBurst(Held, Amount.Burst);
  if (Amount.isZero())
    return failure(Errc::LimitReached);
  return this->withdrawShare(**Account, Workspace, Lender, Amount, Now);
}

std::vector<ShareGrant>
ShareLedger::releaseAll(const std::vector<ShareHolder> &Peers,
                        Clock::time_point Now) {
  std::vector<ShareGrant> Result;
  std::vector<ShareHolder> Receivers;
  for (const ShareHolder &Peer : Peers)
    if (Peer != this->Self && this->Holders.contains(Peer))
      Receivers.push_back(Peer);
  if (Receivers.empty() || !this->isFresh(Now))
    return Result;
  for (auto &[Name, Account] : this->Accounts) {
    this->refilledAccount(Name, Now);
    if (const ShareAmount Held = heldAmount(Account); !Held.isZero())
      Result.push_back(this->withdrawShare(
          Account, Name, Receivers[Result.size() % Receivers.size()], Held,
          Now));
  }
  return Result;
}

GrantResult ShareLedger::receive(const ShareGrant &Grant,
                                 Clock::time_point Now) {
  if (Grant.To != this->Self)
    return GrantResult::WrongReceiver;
  if (Grant.Epoch != this->Epoch)
    return Grant.Epoch < this->Epoch ? GrantResult::OlderEpoch
                                     : GrantResult::NewerEpoch;
  ShareAccount *Account = this->refilledAccount(Grant.Workspace, Now);
  if (!Account)
    return GrantResult::UnknownWorkspace;
  const ShareAmount Held = heldAmount(*Account);
  if (!isValid(Grant.Amount) || Grant.Amount.Rate > MaxAmount - Held.Rate ||
      Grant.Amount.Burst > MaxAmount - Held.Burst)
    return GrantResult::Malformed;
  if (!this->ReceivedGrants.insert(Grant.From, Grant.Sequence))
    return GrantResult::Duplicate;
  TokenBucket &Bucket = Account->Bucket;
  Bucket.setRate(Held.Rate + Grant.Amount.Rate, Now);
  Bucket.setCapacity(Held.Burst + Grant.Amount.Burst, Now);
  Bucket.deposit(Grant.Amount.Tokens);
  return GrantResult::Added;
}

std::optional<Clock::duration>
ShareLedger::timeUntilToken(const std::string &Workspace,
                            Clock::time_point Now) {
  const ShareAccount *Account = this->refilledAccount(Workspace, Now);
  if (!Account || !this->isFresh(Now))
    return std::nullopt;
  return Account->Bucket.timeUntil(OneRequest);
}

ShareAmount ShareLedger::held(const std::string &Workspace,
                              Clock::time_point Now) {
  const ShareAccount *Account = this->refilledAccount(Workspace, Now);
  return Account ? heldAmount(*Account) : ShareAmount{};
}

std::vector<WorkspaceDemand> ShareLedger::report(Clock::time_point Now) {
  std::vector<WorkspaceDemand> Result;
  for (const auto &Item : this->Accounts)
    Result.push_back({Item.first, this->held(Item.first, Now), 0});
  return Result;
}

} // namespace rr
