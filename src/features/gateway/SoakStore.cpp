#include "gateway/SoakFleet.h"

#include "base/Timer.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include <algorithm>

namespace rr {

namespace {

/// Time after its wait at which an unanswered read of changes fails.
constexpr Clock::duration ReadTimeout = std::chrono::milliseconds(900);
/// Time after which a write without an answer fails.
constexpr Clock::duration CommitTimeout = std::chrono::seconds(2);
/// Time that the store needs to answer that it lacks the history.
constexpr Clock::duration RoundTrip = std::chrono::milliseconds(10);
/// Covers the calls before a restore and after it that are compared.
constexpr Clock::duration CallHistory = std::chrono::seconds(20);

} // namespace

TableStore SoakFleet::storeFor(Node &Item) {
  const auto CountCall = [&Item] {
    const Clock::time_point Now = Clock::now();
    Item.StoreCalls.push_back(Now);
    while (Item.StoreCalls.front() + CallHistory < Now)
      Item.StoreCalls.pop_front();
  };
  const TableStore All = this->Tables.tables();
  const auto IsReachable = [this, &Item] {
    return Clock::now() >=
           std::max(Item.DisconnectedUntil, this->StoreDownUntil);
  };
  TableStore Result;
  Result.ReadTable =
      [All, IsReachable,
       CountCall](std::string Table) -> asio::awaitable<Outcome<TableRows>> {
    if (!IsReachable())
      co_return failure(Errc::Unavailable);
    CountCall();
    co_return co_await All.ReadTable(std::move(Table));
  };
  Result.ReadChanges =
      [All, IsReachable, CountCall,
       &Item](std::string Table, StoreVersion After,
              Clock::duration Wait) -> asio::awaitable<Outcome<TableRows>> {
    if (!IsReachable())
      co_return failure(Errc::Unavailable);
    CountCall();
    if (Table == "backends" && Wait > Clock::duration::zero() &&
        Clock::now() < Item.ReadsStallUntil) {
      co_await sleepFor(Wait + ReadTimeout);
      co_return failure(Errc::Unavailable);
    }
    auto Rows = co_await All.ReadChanges(std::move(Table), After, Wait);
    // Rows read before the connection was cut do not arrive afterwards.
    if (!IsReachable())
      co_return failure(Errc::Unavailable);
    // A reader that asks again at once would otherwise never let the clock
    // advance.
    if (!Rows && Rows.error() == make_error_code(Errc::Stale))
      co_await sleepFor(RoundTrip);
    co_return Rows;
  };
  Result.Commit = [this, All, IsReachable, CountCall,
                   &Item](std::vector<TableWrite> Writes)
      -> asio::awaitable<Outcome<StoreVersion>> {
    if (!IsReachable() || Clock::now() < this->WritesRefusedUntil)
      co_return failure(Errc::Unavailable);
    CountCall();
    if (Clock::now() < Item.WritesLateUntil) {
      this->commitLater(std::move(Writes),
                        this->randomDuration(std::chrono::milliseconds(5300),
                                             std::chrono::milliseconds(6000)));
      co_await sleepFor(CommitTimeout);
      co_return failure(Errc::Unknown);
    }
    const bool WritesOwnRow = std::any_of(
        Writes.begin(), Writes.end(), [&Item](const TableWrite &Write) {
          return Write.Table == MemberRegistry::Table &&
                 Write.Key == "instance/" + Item.Name;
        });
    auto Version = co_await All.Commit(std::move(Writes));
    if (Version && WritesOwnRow)
      Item.RowWrittenAt = Clock::now();
    if (Clock::now() < this->AnswersLostUntil && this->chance(0.5))
      co_return failure(Errc::Unknown);
    co_return Version;
  };
  return Result;
}

void SoakFleet::commitLater(std::vector<TableWrite> Writes,
                            Clock::duration Delay) {
  asio::co_spawn(
      this->SharedContext,
      [](FakeTables &Tables, std::vector<TableWrite> Sent,
         Clock::duration Time) -> asio::awaitable<void> {
        co_await sleepFor(Time);
        const TableStore Store = Tables.tables();
        co_await Store.Commit(std::move(Sent));
      }(this->Tables, std::move(Writes), Delay),
      asio::detached);
}

} // namespace rr
