#include "tables/TableWatch.h"

#include "base/Timer.h"
#include "logging/EventLog.h"
#include "tables/BootTime.h"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>

namespace rr {

namespace {

/// Attempts in one period while the store is away.
constexpr int RetriesInPeriod = 4;

} // namespace

TableWatch::TableWatch(asio::io_context &Context, const TableStore &Tables,
                       Options What, Handlers Calls)
    : Store(Tables), Chosen(std::move(What)), Functions(std::move(Calls)),
      Availability(this->Chosen.Table), Random(randomSeed()), Pause(Context) {}

void TableWatch::setIntervals(Clock::duration Wait, Clock::duration Period) {
  const bool Shorter = Period < this->Chosen.Period;
  this->Chosen.Wait = Wait;
  this->Chosen.Period = Period;
  if (Shorter)
    this->Pause.cancel();
}

void TableWatch::noteSuccess() {
  const bool Recovered = this->Availability.isFailing();
  this->Availability.succeeded(Clock::now());
  if (Recovered && this->Functions.Recovered)
    this->Functions.Recovered();
}

void TableWatch::retryNow() {
  if (this->Availability.isFailing())
    this->Pause.cancel();
}

asio::awaitable<bool> TableWatch::step() {
  const Clock::time_point Start = bootTime();
  const Clock::time_point CallStart = Clock::now();
  const bool Full = !this->Loaded;
  // While the store is away, calls that wait there would hide its return.
  const Clock::duration Wait =
      this->Availability.isFailing() ? Clock::duration{0} : this->Chosen.Wait;
  Outcome<TableRows> Read = failure(Errc::Unavailable);
  if (Full)
    Read = co_await this->Store.ReadTable(this->Chosen.Table);
  else
    Read = co_await this->Store.ReadChanges(this->Chosen.Table, this->Version,
                                            Wait);
  if (this->Stopped)
    co_return true;
  if (!Read && Read.error() == make_error_code(Errc::Stale)) {
    logEvent(Event::HistoryLost, {{"table", this->Chosen.Table}});
    this->noteSuccess();
    this->Loaded = false;
    co_return true;
  }
  if (!Read)
    co_return false;
  this->noteSuccess();
  this->Loaded = true;
  this->Relayed = Read->Relayed;
  this->ReadStart = std::max(this->ReadStart, CallStart);
  this->apply(*Read, Full);
  if (this->Functions.Confirmed)
    this->Functions.Confirmed(
        provenTime(*Read, Start, Full ? Clock::duration::max() : Wait));
  co_return true;
}

void TableWatch::apply(const TableRows &Read, bool Full) {
  // Of two reads that overlap, the one with the newer version had everything
  // that the other one has.
  if (Read.Version < this->Version)
    return;
  this->Version = Read.Version;
  (Full ? this->Functions.Snapshot : this->Functions.Changes)(Read);
}

asio::awaitable<bool> TableWatch::refresh() {
  if (!this->Loaded)
    co_return false;
  const Clock::time_point Start = bootTime();
  const Clock::time_point CallStart = Clock::now();
  const auto Read = co_await this->Store.ReadChanges(
      this->Chosen.Table, this->Version, Clock::duration{0});
  if (this->Stopped || !Read)
    co_return false;
  this->noteSuccess();
  this->ReadStart = std::max(this->ReadStart, CallStart);
  this->apply(*Read, false);
  if (this->Functions.Confirmed)
    this->Functions.Confirmed(Start);
  co_return true;
}

asio::awaitable<void> TableWatch::pauseFor(Clock::duration Time) {
  asio::error_code Ignored;
  this->Pause.expires_after(Time);
  co_await this->Pause.async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
}

asio::awaitable<void> TableWatch::run() {
  while (!this->Stopped) {
    const Clock::time_point Start = Clock::now();
    if (!co_await this->step()) {
      const double Jitter = std::uniform_real_distribution<>()(this->Random);
      // A reader that reads seldom also tries seldom.
      co_await this->pauseFor(
          std::max(this->Availability.failed(Clock::now(), Jitter),
                   this->Chosen.Period / RetriesInPeriod));
      continue;
    }
    // The other instance's next read would be missed during a pause.
    if (this->Relayed && this->Chosen.Period <= this->Chosen.Wait)
      continue;
    const Clock::duration Passed = Clock::now() - Start;
    if (this->Loaded && Passed < this->Chosen.Period)
      co_await this->pauseFor(this->Chosen.Period - Passed);
  }
}

} // namespace rr
