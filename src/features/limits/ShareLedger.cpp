#include "limits/ShareLedger.h"

#include "limits/Apportion.h"

#include <algorithm>
#include <utility>

namespace rr {

namespace {

__extension__ using Wide = __int128;

/// \p Amount x \p Part / \p Whole, rounded down.
MicroRequests scale(MicroRequests Amount, MicroRequests Part,
                    MicroRequests Whole) {
  return Whole == 0 ? 0 : MicroRequests(Wide(Amount) * Part / Whole);
}

bool isSound(const ShareAmount &Amount) {
  return Amount.Rate >= 0 && Amount.Rate <= MaxAmount && Amount.Tokens >= 0 &&
         Amount.Tokens <= Amount.Burst && Amount.Burst <= MaxAmount;
}

ShareAmount contents(const ShareAccount &Account) {
  return {Account.Bucket.rate(), Account.Bucket.capacity(),
          Account.Bucket.tokens()};
}

/// Tokens that move along with \p Burst: in proportion, and at least those
/// that the smaller bucket could not keep.
MicroRequests tokensAlong(const ShareAmount &Held, MicroRequests Burst) {
  return std::max(scale(Held.Tokens, Burst, Held.Burst),
                  Held.Tokens - (Held.Burst - Burst));
}

} // namespace

ShareLedger::ShareLedger(ShareHolder Self, Clock::time_point Now)
    : Self(std::move(Self)), ProofUntil(Now) {}

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
  // After a skipped epoch, other instances may already use the shares held
  // here, and may have spent the tokens. Nothing held counts then.
  const bool Successive = Allocation.Epoch == this->Epoch + 1;
  std::map<std::string, ShareAccount> Next;
  for (const auto &[Name, Workspace] : Allocation.Workspaces) {
    const ShareAmount Target = shareOf(Allocation, Name, this->Self);
    ShareAccount Account(Now);
    const auto Old = this->Accounts.find(Name);
    if (Successive && Old != this->Accounts.end()) {
      this->refill(Old->second, Now);
      Account = Old->second;
    }
    TokenBucket &Bucket = Account.Bucket;
    Bucket.setRate(std::min(Bucket.rate(), Target.Rate), Now);
    Bucket.setCapacity(std::min(Bucket.capacity(), Target.Burst), Now);
    Account.Total = Workspace.Total;
    Account.Pending = {Target.Rate - Bucket.rate(),
                       Target.Burst - Bucket.capacity(), 0};
    Next.emplace(Name, Account);
  }
  this->Accounts = std::move(Next);
  this->Epoch = Allocation.Epoch;
  this->Seen.clear();
  this->IncreaseAt = Now + EpochBarrierTime;
  return {};
}

void ShareLedger::confirmBarrier(std::uint64_t Epoch, Clock::time_point Now) {
  if (Epoch != this->Epoch || !this->IncreaseAt)
    return;
  this->IncreaseAt = std::min(*this->IncreaseAt, Now);
  this->applyIncreases(Now);
}

void ShareLedger::applyIncreases(Clock::time_point Now) {
  if (!this->IncreaseAt || Now < *this->IncreaseAt)
    return;
  this->IncreaseAt.reset();
  for (auto &[Name, Account] : this->Accounts) {
    this->refill(Account, Now);
    TokenBucket &Bucket = Account.Bucket;
    Bucket.setRate(Bucket.rate() + Account.Pending.Rate, Now);
    Bucket.setCapacity(Bucket.capacity() + Account.Pending.Burst, Now);
    Account.Pending = {};
  }
}

void ShareLedger::renewProof(std::uint64_t Epoch, Clock::time_point Until,
                             Clock::time_point Now) {
  if (Epoch > this->Epoch)
    return;
  // Closes the gap since the last proof before the new one counts.
  if (Now > this->ProofUntil)
    for (auto &[Name, Account] : this->Accounts)
      this->refill(Account, Now);
  this->ProofUntil = std::max(this->ProofUntil, Until);
}

bool ShareLedger::isFresh(Clock::time_point Now) const {
  return this->Epoch != 0 && Now < this->ProofUntil;
}

void ShareLedger::refill(ShareAccount &Account, Clock::time_point Now) {
  // Nothing accrues without a proof: a new epoch may have given the rate to
  // somebody else in the meantime.
  Account.Bucket.refill(std::min(Now, this->ProofUntil));
  Account.Bucket.skip(Now);
}

ShareAccount *ShareLedger::find(const std::string &Workspace,
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
  ShareAccount *Account = this->find(Workspace, Now);
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
  ShareAccount *Account = this->find(Workspace, Now);
  if (!Account || !this->Holders.contains(Receiver))
    return failure(Errc::NotFound);
  return Account;
}

ShareGrant ShareLedger::subtract(ShareAccount &Account,
                                 const std::string &Workspace,
                                 const ShareHolder &Receiver,
                                 ShareAmount Amount, Clock::time_point Now) {
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
  const ShareAmount Held = contents(**Account);
  const auto Surplus = [](MicroRequests Wanted, MicroRequests Has,
                          MicroRequests Keep) {
    return std::clamp(Has - std::max<MicroRequests>(Keep, 0), MicroRequests{0},
                      std::max<MicroRequests>(Wanted, 0));
  };
  ShareAmount Amount;
  Amount.Rate = Surplus(Request.Amount.Rate, Held.Rate, Request.Keep.Rate);
  Amount.Burst = Surplus(Request.Amount.Burst, Held.Burst, Request.Keep.Burst);
  Amount.Tokens = tokensAlong(Held, Amount.Burst);
  if (Amount.isZero())
    return failure(Errc::LimitReached);
  return this->subtract(**Account, Request.Workspace, Request.Receiver, Amount,
                        Now);
}

Outcome<ShareGrant> ShareLedger::lend(const BorrowRequest &Request,
                                      MicroRequests OwnDemand, bool Gathering,
                                      Clock::time_point Now) {
  const auto Account = this->accountForGrant(
      Request.Lender, Request.Borrower, Request.Epoch, Request.Workspace, Now);
  if (!Account)
    return tl::unexpected(Account.error());
  const ShareAmount Held = contents(**Account);
  const bool Ahead = Held.Tokens != Request.Gathered
                         ? Held.Tokens > Request.Gathered
                         : this->Self < Request.Borrower;
  // A reserve of a part of a token would keep whole ones from being lent.
  const MicroRequests Reserve =
      this->isConcentrated(Request.Workspace)
          ? 0
          : OwnDemand / (std::chrono::seconds(1) / LendReserve);
  MicroRequests Spare = 0;
  if (!Gathering)
    Spare = std::max<MicroRequests>(Held.Tokens - Reserve, 0);
  else if (!Ahead)
    Spare = Held.Tokens;
  ShareAmount Amount;
  Amount.Tokens = std::clamp(Request.Wanted, MicroRequests{0}, Spare);
  // Capacity travels with tokens, and unneeded rate with the capacity: a
  // bucket without capacity would waste the rate that fills it.
  Amount.Burst = Amount.Tokens;
  if (!this->isConcentrated(Request.Workspace))
    Amount.Rate = std::min(scale(Held.Rate, Amount.Burst, Held.Burst),
                           std::max<MicroRequests>(Held.Rate - OwnDemand, 0));
  ShareGrant Grant = this->subtract(**Account, Request.Workspace,
                                    Request.Borrower, Amount, Now);
  Grant.Borrowed = true;
  return Grant;
}

std::size_t ShareLedger::homes(const std::string &Workspace) const {
  const auto Found = this->Accounts.find(Workspace);
  return Found == this->Accounts.end()
             ? 0
             : homeCount(Found->second.Total.Burst, this->Holders.size());
}

bool ShareLedger::isConcentrated(const std::string &Workspace) const {
  return this->homes(Workspace) < this->Holders.size();
}

Outcome<ShareGrant> ShareLedger::giveBack(const std::string &Workspace,
                                          const ShareHolder &Lender,
                                          MicroRequests Burst,
                                          Clock::time_point Now) {
  const auto Account =
      this->accountForGrant(this->Self, Lender, this->Epoch, Workspace, Now);
  if (!Account)
    return tl::unexpected(Account.error());
  const ShareAmount Held = contents(**Account);
  ShareAmount Amount;
  Amount.Burst = std::clamp(Burst, MicroRequests{0}, Held.Burst);
  Amount.Tokens = tokensAlong(Held, Amount.Burst);
  if (Amount.isZero())
    return failure(Errc::LimitReached);
  return this->subtract(**Account, Workspace, Lender, Amount, Now);
}

std::vector<ShareGrant>
ShareLedger::releaseAll(const std::vector<ShareHolder> &Peers,
                        Clock::time_point Now) {
  std::vector<ShareGrant> Result;
  std::vector<ShareHolder> Able;
  for (const ShareHolder &Peer : Peers)
    if (Peer != this->Self && this->Holders.contains(Peer))
      Able.push_back(Peer);
  if (Able.empty() || !this->isFresh(Now))
    return Result;
  for (auto &[Name, Account] : this->Accounts) {
    this->find(Name, Now);
    if (const ShareAmount Held = contents(Account); !Held.isZero())
      Result.push_back(this->subtract(
          Account, Name, Able[Result.size() % Able.size()], Held, Now));
  }
  return Result;
}

GrantResult ShareLedger::receive(const ShareGrant &Grant,
                                 Clock::time_point Now) {
  if (Grant.To != this->Self)
    return GrantResult::NotAddressed;
  if (Grant.Epoch != this->Epoch)
    return Grant.Epoch < this->Epoch ? GrantResult::OldEpoch
                                     : GrantResult::NewerEpoch;
  ShareAccount *Account = this->find(Grant.Workspace, Now);
  if (!Account)
    return GrantResult::UnknownWorkspace;
  const ShareAmount Held = contents(*Account);
  if (!isSound(Grant.Amount) || Grant.Amount.Rate > MaxAmount - Held.Rate ||
      Grant.Amount.Burst > MaxAmount - Held.Burst)
    return GrantResult::Malformed;
  if (!this->Seen.isFirst(Grant.From, Grant.Sequence))
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
  const ShareAccount *Account = this->find(Workspace, Now);
  if (!Account || !this->isFresh(Now))
    return std::nullopt;
  return Account->Bucket.timeUntil(OneRequest);
}

ShareAmount ShareLedger::held(const std::string &Workspace,
                              Clock::time_point Now) {
  const ShareAccount *Account = this->find(Workspace, Now);
  return Account ? contents(*Account) : ShareAmount{};
}

std::vector<WorkspaceDemand> ShareLedger::report(Clock::time_point Now) {
  std::vector<WorkspaceDemand> Result;
  for (const auto &Item : this->Accounts)
    Result.push_back({Item.first, this->held(Item.first, Now), 0});
  return Result;
}

} // namespace rr
