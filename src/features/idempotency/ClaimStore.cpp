#include "idempotency/ClaimStore.h"

#include "base/Digest.h"
#include "base/Random.h"
#include "idempotency/ClaimRow.h"
#include "platform/PlatformCalls.h"

#include <utility>

namespace rr {

namespace {

// Each further round is caused by another attempt that released the row.
constexpr int MaxClaimRounds = 3;
// When the queue is full, the oldest claim is dropped and stays `unknown`.
constexpr std::size_t MaxPendingReleases = 1024;

Transaction makeRowWrite(const std::string &Key, const ClaimRow &Value,
                         std::optional<std::uint64_t> ExpectedVersion) {
  RowWrite Write;
  Write.Key = Key;
  Write.Value = formatClaimRow(Value);
  Write.ExpectedVersion = ExpectedVersion;
  Transaction Result;
  Result.Writes.push_back(std::move(Write));
  return Result;
}

ClaimRow makeOpenRow(const Claim &HeldClaim) {
  ClaimRow Result;
  Result.Token = HeldClaim.Token;
  Result.Digest = HeldClaim.Digest;
  return Result;
}

bool isWithinLimits(const RecordedAnswer &Answer) {
  std::size_t HeaderSize = 0;
  for (const auto &[Name, Value] : Answer.Headers)
    HeaderSize += Name.size() + Value.size();
  return HeaderSize <= RecordedAnswer::MaxHeaderBytes &&
         Answer.Body.size() <= RecordedAnswer::MaxBodyBytes;
}

ClaimResult makeResult(ClaimResult::Kind Action, Claim HeldClaim) {
  ClaimResult Result;
  Result.Action = Action;
  Result.Held = std::move(HeldClaim);
  return Result;
}

// Maps an existing row, of this or another attempt, to a result.
ClaimResult resultForExistingRow(const Claim &NewClaim, ClaimRow Found) {
  if (Found.Token == NewClaim.Token)
    return makeResult(ClaimResult::Kind::Run, NewClaim);
  if (Found.Digest != NewClaim.Digest)
    return makeResult(ClaimResult::Kind::OtherRequest, {});
  if (Found.State == ClaimRow::ClaimState::Open)
    return makeResult(ClaimResult::Kind::Unknown, {});
  auto Result = makeResult(ClaimResult::Kind::Replay, {});
  Result.Answer = std::move(Found.Answer);
  return Result;
}

} // namespace

ClaimStore::ClaimStore(Platform Store) : Store(std::move(Store)) {}

std::string ClaimStore::requestDigest(const std::string &Method,
                                      const std::string &Target,
                                      const std::string &Body) {
  // Length prefixes make the concatenation unambiguous.
  return sha256Hex(std::to_string(Method.size()) + ":" + Method +
                   std::to_string(Target.size()) + ":" + Target + Body);
}

asio::awaitable<ClaimResult> ClaimStore::claim(std::string Workspace,
                                               std::string IdempotencyKey,
                                               std::string Digest) {
  Claim NewClaim;
  NewClaim.RowKey = "claims/" + Workspace + "/" + sha256Hex(IdempotencyKey);
  NewClaim.Token = randomToken();
  NewClaim.Digest = std::move(Digest);
  std::optional<std::uint64_t> Version = RowWrite::Absent;
  for (int Round = 0; Round < MaxClaimRounds; ++Round) {
    const Transaction Writes =
        makeRowWrite(NewClaim.RowKey, makeOpenRow(NewClaim), Version);
    const auto Written =
        co_await commitVerified(this->Store, Writes, NewClaim.RowKey);
    if (Written)
      co_return makeResult(ClaimResult::Kind::Run, NewClaim);
    if (Written.error() != Errc::Conflict) {
      // The row may have been written although no request will be sent.
      if (Written.error() != Errc::Unavailable)
        this->queueRelease(NewClaim);
      co_return makeResult(ClaimResult::Kind::StoreUnavailable, {});
    }
    const auto Current = co_await readRow(this->Store, NewClaim.RowKey);
    // The conflict shows that another attempt has claimed the key.
    if (!Current)
      co_return makeResult(ClaimResult::Kind::Unknown, {});
    Version = RowWrite::Absent;
    if (!*Current)
      continue;
    auto Found = parseClaimRow((*Current)->Value);
    if (!Found)
      co_return makeResult(ClaimResult::Kind::Unknown, {});
    if (Found->State != ClaimRow::ClaimState::Released)
      co_return resultForExistingRow(NewClaim, std::move(*Found));
    Version = (*Current)->Version;
  }
  this->queueRelease(NewClaim);
  co_return makeResult(ClaimResult::Kind::StoreUnavailable, {});
}

asio::awaitable<Outcome<void>> ClaimStore::recordAnswer(Claim HeldClaim,
                                                        RecordedAnswer Answer) {
  if (!isWithinLimits(Answer))
    co_return failure(Errc::TooLarge);
  ClaimRow Value = makeOpenRow(HeldClaim);
  Value.State = ClaimRow::ClaimState::Done;
  Value.Answer = std::move(Answer);
  // Only the holder writes an open row, so the write needs no version
  // condition and no preceding read.
  const Transaction Writes =
      makeRowWrite(HeldClaim.RowKey, Value, std::nullopt);
  co_return co_await commitVerified(this->Store, Writes, HeldClaim.RowKey);
}

asio::awaitable<Outcome<void>> ClaimStore::release(Claim HeldClaim) {
  const auto Result = co_await this->tryRelease(HeldClaim);
  if (!Result)
    this->queueRelease(HeldClaim);
  co_return Result;
}

asio::awaitable<Outcome<void>> ClaimStore::tryRelease(const Claim &HeldClaim) {
  const auto Current = co_await readRow(this->Store, HeldClaim.RowKey);
  if (!Current)
    co_return tl::unexpected<std::error_code>(Current.error());
  if (!*Current)
    co_return Outcome<void>();
  auto Found = parseClaimRow((*Current)->Value);
  if (!Found || Found->Token != HeldClaim.Token ||
      Found->State != ClaimRow::ClaimState::Open)
    co_return Outcome<void>();
  Found->State = ClaimRow::ClaimState::Released;
  const Transaction Writes =
      makeRowWrite(HeldClaim.RowKey, *Found, (*Current)->Version);
  const auto Written =
      co_await commitVerified(this->Store, Writes, HeldClaim.RowKey);
  // A conflict means that the row no longer belongs to this claim.
  if (Written || Written.error() == Errc::Conflict)
    co_return Outcome<void>();
  co_return Written;
}

asio::awaitable<std::size_t> ClaimStore::retryReleases() {
  const std::size_t Count = this->PendingReleases.size();
  for (std::size_t I = 0; I < Count && !this->PendingReleases.empty(); ++I) {
    const Claim Next = this->PendingReleases.front();
    this->PendingReleases.pop_front();
    const auto Result = co_await this->tryRelease(Next);
    if (!Result)
      this->queueRelease(Next);
  }
  co_return this->PendingReleases.size();
}

void ClaimStore::queueRelease(const Claim &HeldClaim) {
  if (this->PendingReleases.size() >= MaxPendingReleases)
    this->PendingReleases.pop_front();
  this->PendingReleases.push_back(HeldClaim);
}

} // namespace rr
