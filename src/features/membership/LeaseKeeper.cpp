#include "membership/LeaseKeeper.h"

#include "base/Random.h"
#include "platform/PlatformCalls.h"

#include <utility>

namespace rr {

LeaseKeeper::LeaseKeeper(std::string Name, std::string Holder)
    : Name(std::move(Name)), Holder(std::move(Holder)) {}

asio::awaitable<Outcome<void>> LeaseKeeper::write(const Platform &Store,
                                                  std::uint64_t ExpectedVersion,
                                                  std::uint64_t NewFence) {
  const Clock::time_point Before = Clock::now();
  const Lease Next{this->Holder, NewFence, Duration, randomToken()};
  Transaction Writes;
  RowWrite Put{RowWrite::Kind::Put, this->rowKey(), formatLease(Next),
               ExpectedVersion};
  Writes.Writes.push_back(std::move(Put));
  const auto Result = co_await commitVerified(Store, Writes, this->rowKey());
  if (!Result)
    co_return Result;
  this->Fence = NewFence;
  // The version after the write is not answered; should the store count
  // otherwise, commitFenced() reads it.
  this->RowVersion = ExpectedVersion + 1;
  this->RenewedAt = Before;
  this->HeldUntil = Before + Duration;
  co_return Result;
}

asio::awaitable<Outcome<void>> LeaseKeeper::step(const Platform &Store) {
  const Clock::time_point Start = Clock::now();
  if (this->isHeld(Start) && Start - this->RenewedAt < RenewAfter)
    co_return Outcome<void>();
  const auto Found = co_await readRow(Store, this->rowKey());
  if (!Found)
    co_return tl::unexpected<std::error_code>(Found.error());
  const std::optional<Row> &Current = *Found;
  if (!Current)
    co_return co_await this->write(Store, RowWrite::Absent, 1);
  const auto Known = parseLease(Current->Value);
  const bool IsOwn = Known && Known->Holder == this->Holder;
  if (IsOwn && Known->Fence == this->Fence && this->isHeld(Clock::now()))
    co_return co_await this->write(Store, Current->Version, this->Fence);
  this->drop();
  if (!this->SeenSince || this->SeenVersion != Current->Version) {
    this->SeenVersion = Current->Version;
    this->SeenSince = Clock::now();
    co_return Outcome<void>();
  }
  if (Clock::now() - *this->SeenSince < ChallengeAfter)
    co_return Outcome<void>();
  this->SeenSince.reset();
  const std::uint64_t LastFence = Known ? Known->Fence : Current->Version;
  co_return co_await this->write(Store, Current->Version, LastFence + 1);
}

asio::awaitable<Outcome<std::optional<std::uint64_t>>>
LeaseKeeper::readOwnVersion(const Platform &Store) {
  const auto Found = co_await readRow(Store, this->rowKey());
  if (!Found)
    co_return tl::unexpected<std::error_code>(Found.error());
  std::optional<std::uint64_t> Result;
  if (*Found) {
    const auto Known = parseLease((*Found)->Value);
    if (Known && Known->Holder == this->Holder && Known->Fence == this->Fence)
      Result = (*Found)->Version;
  }
  co_return Result;
}

asio::awaitable<Outcome<void>> LeaseKeeper::commitFenced(const Platform &Store,
                                                         Transaction Writes,
                                                         std::string ProbeKey) {
  if (!this->isHeld(Clock::now()))
    co_return failure(Errc::Stale);
  RowWrite Check{RowWrite::Kind::CheckOnly, this->rowKey(), "",
                 this->RowVersion};
  Writes.Writes.push_back(std::move(Check));
  auto Result = co_await commitVerified(Store, Writes, ProbeKey);
  if (Result || Result.error() != Errc::Conflict)
    co_return Result;
  const auto Current = co_await this->readOwnVersion(Store);
  if (!Current)
    co_return tl::unexpected<std::error_code>(Current.error());
  if (!*Current) {
    this->drop();
    co_return failure(Errc::Stale);
  }
  if (**Current == *Writes.Writes.back().ExpectedVersion)
    co_return Result;
  // The row changed through an own renewal; the fence is still this one.
  this->RowVersion = **Current;
  Writes.Writes.back().ExpectedVersion = this->RowVersion;
  Result = co_await commitVerified(Store, Writes, ProbeKey);
  co_return Result;
}

} // namespace rr
