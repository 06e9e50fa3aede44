#include "platform/PlatformCalls.h"

#include "base/Random.h"
#include "base/Timer.h"

#include <algorithm>
#include <chrono>

namespace rr {

namespace {

constexpr int MaxAttempts = 3;
constexpr std::chrono::milliseconds InitialRetryDelay{50};
constexpr std::size_t PageSize = 500;

RandomEngine &jitterEngine() {
  static RandomEngine Engine(randomSeed());
  return Engine;
}

asio::awaitable<void> waitBeforeRetry(int Attempt) {
  const auto MaxDelay = InitialRetryDelay * (1 << Attempt);
  std::uniform_int_distribution<std::int64_t> Jitter(MaxDelay.count() / 2,
                                                     MaxDelay.count());
  co_await sleepFor(std::chrono::milliseconds(Jitter(jitterEngine())));
}

bool isRetriable(const std::error_code &Error) {
  return Error == Errc::Unavailable || Error == Errc::Timeout ||
         Error == Errc::Unknown;
}

const RowWrite *findWrite(const Transaction &Writes, const std::string &Key) {
  const auto Found =
      std::find_if(Writes.Writes.begin(), Writes.Writes.end(),
                   [&](const RowWrite &Write) { return Write.Key == Key; });
  return Found == Writes.Writes.end() ? nullptr : &*Found;
}

bool matchesWrite(const std::optional<Row> &Current, const RowWrite &Write) {
  if (Write.Action == RowWrite::Kind::Erase)
    return !Current;
  return Current && Current->Value == Write.Value;
}

// Determines the outcome of a transaction whose answer was lost from the row
// that the probe writes.
asio::awaitable<Outcome<void>> verifyByReading(const Platform &Store,
                                               const RowWrite &Probe) {
  const auto Current = co_await readRow(Store, Probe.Key);
  if (!Current)
    co_return failure(Errc::Unknown);
  if (matchesWrite(*Current, Probe))
    co_return Outcome<void>();
  co_return failure(Errc::Conflict);
}

} // namespace

void seedRetryJitter(std::uint64_t Seed) { jitterEngine().seed(Seed); }

asio::awaitable<Outcome<std::optional<Row>>> readRow(const Platform &Store,
                                                     std::string Key) {
  for (int Attempt = 0;; ++Attempt) {
    auto Result = co_await Store.ReadRow(Key);
    if (Result || !isRetriable(Result.error()) || Attempt + 1 == MaxAttempts)
      co_return Result;
    co_await waitBeforeRetry(Attempt);
  }
}

asio::awaitable<Outcome<std::vector<Row>>> listRows(const Platform &Store,
                                                    std::string Prefix) {
  std::vector<Row> Result;
  for (;;) {
    const std::string After =
        Result.empty() ? std::string() : Result.back().Key;
    auto Page = co_await Store.ListRows(Prefix, After, PageSize);
    if (!Page)
      co_return tl::unexpected<std::error_code>(Page.error());
    Result.insert(Result.end(), Page->begin(), Page->end());
    if (Page->size() < PageSize)
      co_return Result;
  }
}

asio::awaitable<Outcome<void>> commitVerified(const Platform &Store,
                                              Transaction Writes,
                                              std::string ProbeKey) {
  const RowWrite *Probe = findWrite(Writes, ProbeKey);
  // After an attempt whose answer was lost, a conflict is ambiguous: it may be
  // with the write of that attempt.
  bool AnswerLost = false;
  for (int Attempt = 0;; ++Attempt) {
    auto Result = co_await Store.Commit(Writes);
    if (Result)
      co_return Result;
    AnswerLost = AnswerLost || Result.error() == Errc::Unknown;
    const bool IsLastAttempt = Attempt + 1 == MaxAttempts;
    if (Result.error() == Errc::Conflict || (AnswerLost && IsLastAttempt))
      co_return AnswerLost &&Probe ? co_await verifyByReading(Store, *Probe)
                                   : Result;
    if (!isRetriable(Result.error()) || IsLastAttempt)
      co_return Result;
    co_await waitBeforeRetry(Attempt);
  }
}

} // namespace rr
