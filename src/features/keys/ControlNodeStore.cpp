#include "configuration/HeadView.h"
#include "keys/ControlNode.h"
#include "keys/KeyRows.h"
#include "keys/WithdrawalMessages.h"
#include "membership/MemberRows.h"
#include "membership/Timing.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

namespace rr {

namespace {

// Relays alone read the member rows, and pass them on: 54 relays with three
// pages for 1,300 members make 16 reads/s.
constexpr Clock::duration MemberReadPeriod = std::chrono::seconds(10);

} // namespace

void ControlNode::hint() { this->Hinted = true; }

void ControlNode::startStoreRound(Clock::time_point Now) {
  Clock::duration Period = this->Exchange.headReadPeriod(Now);
  // Until it is synchronised, and while withdrawals wait for the store, an
  // instance reads by itself.
  if (!this->Freshness.isSynchronised() || !this->Keys.pending().empty())
    Period = HeadReadPeriod;
  // Every relay follows a hint; members take the change from their relays.
  const bool FollowHint = this->Hinted && this->Members.isRelay(Now);
  if (this->StoreBusy || (!FollowHint && (Period == Clock::duration::zero() ||
                                          Now < this->NextStoreRound)))
    return;
  this->Hinted = false;
  this->NextStoreRound = Now + Period;
  this->StoreBusy = true;
  asio::co_spawn(this->Executor, this->storeRound(), asio::detached);
}

asio::awaitable<void> ControlNode::storeRound() {
  const auto Followed = co_await this->followHead();
  if (Followed) {
    static_cast<void>(co_await this->refreshMembers());
    if (!this->Keys.pending().empty()) {
      static_cast<void>(co_await writePending(this->Store, this->Keys));
      this->refreshHeld();
    }
    this->noteDurable();
    if (!this->Freshness.isSynchronised() && this->Joined &&
        this->Freshness.mayStartCold(Clock::now()))
      this->Freshness.noteSynchronised();
  }
  this->StoreBusy = false;
}

asio::awaitable<Outcome<void>> ControlNode::followHead() {
  const auto View = co_await readHead(this->Store);
  this->StoreDown = !View.has_value();
  if (!View)
    co_return tl::unexpected<std::error_code>(View.error());
  const auto Adopted =
      co_await this->Config.adoptFromStore(this->Store, View->Head);
  const auto Followed =
      co_await followKeys(this->Store, this->Keys, View->Head.Versions.Keys);
  const std::uint64_t Epoch = View->Head.Versions.ShareEpoch;
  if (this->Shares && Epoch > this->ShareEpoch)
    co_await this->Shares(Epoch, std::string());
  this->refreshHeld();
  this->Freshness.noteRead(View->Start, View->Head.Versions);
  if (!Adopted)
    co_return tl::unexpected<std::error_code>(Adopted.error());
  co_return Followed;
}

asio::awaitable<Outcome<void>> ControlNode::refreshMembers() {
  const Clock::time_point Now = Clock::now();
  if (this->Joined &&
      (Now < this->NextMemberRead || !this->Members.isRelay(Now)))
    co_return Outcome<void>();
  if (!this->Joined) {
    const Member Self = this->Members.self();
    const auto Written = co_await writeMemberRow(this->Store, Self);
    if (!Written)
      co_return Written;
  }
  const auto Rows = co_await readMemberRows(this->Store);
  if (!Rows)
    co_return tl::unexpected<std::error_code>(Rows.error());
  const auto List = co_await this->Store.ListInstances();
  if (!List)
    co_return tl::unexpected<std::error_code>(List.error());
  for (const Member &Report : *Rows)
    this->Members.merge(Report);
  this->Members.mergePlatformList(*List);
  this->Joined = true;
  this->NextMemberRead = Now + MemberReadPeriod;
  co_return Outcome<void>();
}

void ControlNode::noteDurable() {
  for (auto &[Hash, Tracker] : this->Withdrawals) {
    const auto Found = this->Keys.find(Hash);
    if (Found && Found->Withdrawn && !this->Keys.pending().count(Hash))
      Tracker.noteDurable(Found->Version, Clock::now());
  }
}

asio::awaitable<Outcome<WithdrawalReport>> ControlNode::withdraw(KeyHash Hash) {
  // Refused here and pushed first, so that it holds without the store too.
  const std::vector<KeyHash> Hashes(1, Hash);
  const auto Taken = withdrawHere(Hashes, this->Keys, this->Freshness);
  if (!Taken)
    co_return tl::unexpected<std::error_code>(Taken.error());
  this->Withdrawals.try_emplace(Hash, Hash, Clock::now());
  this->startPushes(Clock::now());
  const auto Version = co_await withdrawKey(this->Store, Hash);
  if (Version) {
    this->Withdrawals.at(Hash).noteDurable(*Version, Clock::now());
    static_cast<void>(co_await followKeys(this->Store, this->Keys, *Version));
    this->refreshHeld();
  }
  co_return this->withdrawalReport(Hash);
}

Outcome<WithdrawalReport> ControlNode::withdrawalReport(const KeyHash &Hash) {
  const auto Found = this->Withdrawals.find(Hash);
  if (Found == this->Withdrawals.end())
    return failure(Errc::NotFound);
  return Found->second.report(this->Members, Clock::now());
}

} // namespace rr
