#include "tables/TableWatch.h"

#include "base/Timer.h"
#include "logging/EventLog.h"
#include "tables/BootTime.h"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>

namespace rr {

namespace {

/// Attempts per polling period while the store is unavailable.
constexpr int RetriesPerPeriod = 4;
/// A history that is lost again within this time after a whole read is lost for
/// a lasting reason, so that the next whole read waits. Longer than such a read
/// and the next read of changes take at a slow store.
constexpr Clock::duration LostAgainTime = std::chrono::seconds(2);

std::string millisecondText(Clock::duration Time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
}

} // namespace

TableWatch::TableWatch(asio::io_context &Context, const TableStore &Store,
                       Options Settings, Handlers Callbacks)
    : Store(Store), Settings(std::move(Settings)),
      Callbacks(std::move(Callbacks)), Availability(this->Settings.Table),
      Random(randomSeed()), Pause(Context) {}

void TableWatch::setIntervals(Clock::duration Wait, Clock::duration Period) {
  const bool Shorter = Period < this->Settings.Period;
  this->Settings.Wait = Wait;
  this->Settings.Period = Period;
  if (Shorter)
    this->Pause.cancel();
}

void TableWatch::recordSuccess() {
  const bool Recovered = this->Availability.isFailing();
  this->Availability.recordSuccess(Clock::now());
  if (Recovered && this->Callbacks.Recovered)
    this->Callbacks.Recovered();
}

void TableWatch::retryNow() {
  if (this->Availability.isFailing())
    this->Pause.cancel();
}

asio::awaitable<bool> TableWatch::pollOnce() {
  const Clock::time_point Start = bootTime();
  const bool Full = !this->Loaded;
  const StoreVersion Asked = this->Version;
  // While the store is unavailable, a call that waits for changes would delay
  // noticing that it is available again.
  const Clock::duration Wait =
      this->Availability.isFailing() ? Clock::duration{0} : this->Settings.Wait;
  Outcome<TableRows> Read = failure(Errc::Unavailable);
  if (Full)
    Read = co_await this->Store.ReadTable(this->Settings.Table);
  else
    Read = co_await this->Store.ReadChanges(this->Settings.Table, this->Version,
                                            Wait);
  if (this->Stopped)
    co_return true;
  if (!Read && Read.error() == make_error_code(Errc::Stale)) {
    // A refresh() may have found that out first, and may have read the whole
    // table meanwhile.
    if (this->Loaded && this->Version == Asked)
      this->recordLostHistory();
    this->recordSuccess();
    co_return true;
  }
  if (!Read)
    co_return false;
  this->recordSuccess();
  this->Loaded = true;
  this->Relayed = Read->Relayed;
  this->applyAndConfirm(*Read, Full, Start,
                        Full ? Clock::duration::max() : Wait);
  co_return true;
}

void TableWatch::recordLostHistory() {
  const Clock::time_point Now = bootTime();
  const Clock::duration Age = Now - this->AppliedAt;
  logEvent(Event::HistoryLost, {{"table", this->Settings.Table},
                                {"asked", this->Version.text()},
                                {"applied_ms_ago", millisecondText(Age)}});
  ++this->Counts.LostHistories;
  this->LostInARow =
      Now - this->LostAt < LostAgainTime ? this->LostInARow + 1 : 1;
  this->LostAt = Now;
  this->Loaded = false;
}

bool TableWatch::applyAndConfirm(const TableRows &Read, bool Full,
                                 Clock::time_point Start,
                                 Clock::duration Wait) {
  const StoreVersion Asked = this->Version;
  const bool Applied = this->apply(Read, Full);
  if (Full && this->LostInARow > 0)
    this->logReadAgain(Asked, Read, Applied);
  // Rows of an older era tell nothing about the present one. Older rows of the
  // same era are part of the known ones, but a whole read that is older than
  // what was known before it began cannot be complete.
  const bool Known = Read.Version.Era == this->Version.Era &&
                     (Applied || !Full || this->AppliedAt >= Start);
  if (Known)
    this->confirm(completeAsOf(Read, Start, Wait));
  return Known;
}

bool TableWatch::apply(const TableRows &Read, bool Full) {
  // Of two overlapping reads, the one with the newer version includes all rows
  // of the other. Changes of another era do not continue the known rows.
  if (Read.Version < this->Version ||
      (!Full && Read.Version.Era != this->Version.Era)) {
    this->Counts.IgnoredSnapshots += Full ? 1 : 0;
    return false;
  }
  ++(Full ? this->Counts.Snapshots : this->Counts.Changes);
  this->Version = Read.Version;
  this->AppliedAt = bootTime();
  (Full ? this->Callbacks.Snapshot : this->Callbacks.Changes)(Read);
  return true;
}

void TableWatch::logReadAgain(StoreVersion Asked, const TableRows &Read,
                              bool Applied) const {
  logEvent(Event::TableReadAgain,
           {{"table", this->Settings.Table},
            {"asked", Asked.text()},
            {"read", Read.Version.text()},
            {"source", Read.Relayed ? "instance" : "store"},
            {"applied", Applied ? "yes" : "no"}});
}

void TableWatch::confirm(Clock::time_point AsOf) {
  this->CurrentUntil = std::max(this->CurrentUntil, AsOf);
  if (this->Callbacks.Confirmed)
    this->Callbacks.Confirmed(this->CurrentUntil);
}

asio::awaitable<bool> TableWatch::refresh() {
  if (!this->Loaded || this->Refreshing)
    co_return false;
  this->Refreshing = true;
  const bool Known = co_await this->readNow();
  this->Refreshing = false;
  co_return Known;
}

asio::awaitable<bool> TableWatch::readNow() {
  Clock::time_point Start = bootTime();
  const StoreVersion Asked = this->Version;
  auto Read = co_await this->Store.ReadChanges(this->Settings.Table, Asked,
                                               Clock::duration{0});
  bool Full = false;
  if (!this->Stopped && !Read && Read.error() == make_error_code(Errc::Stale) &&
      this->Loaded && this->Version == Asked) {
    // The next read of run() may be a whole period away.
    this->recordLostHistory();
    Full = true;
    Start = bootTime();
    if (this->LostInARow == 1)
      Read = co_await this->Store.ReadTable(this->Settings.Table);
  }
  if (!Read && Full)
    this->Pause.cancel();
  if (this->Stopped || !Read)
    co_return false;
  this->recordSuccess();
  // Changes that were read before run() lost the history do not replace its
  // whole read.
  this->Loaded = this->Loaded || Full;
  co_return this->applyAndConfirm(
      *Read, Full, Start, Full ? Clock::duration::max() : Clock::duration{0});
}

asio::awaitable<void> TableWatch::pauseFor(Clock::duration Time) {
  asio::error_code Ignored;
  this->Pause.expires_after(Time);
  co_await this->Pause.async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
}

double TableWatch::jitter() {
  return std::uniform_real_distribution<>()(this->Random);
}

asio::awaitable<void> TableWatch::run() {
  while (!this->Stopped) {
    // The first whole read follows at once. A store whose history is lost again
    // right after it must not be asked without a pause.
    if (!this->Loaded && this->LostInARow > 1)
      co_await this->pauseFor(std::max(
          StoreAvailability::retryDelay(this->LostInARow - 2, this->jitter()),
          this->Settings.Period / RetriesPerPeriod));
    const Clock::time_point Start = Clock::now();
    if (!co_await this->pollOnce()) {
      // A reader with a long polling period also retries at long intervals, to
      // limit the load on an unavailable store.
      co_await this->pauseFor(std::max(
          this->Availability.recordFailure(Clock::now(), this->jitter()),
          this->Settings.Period / RetriesPerPeriod));
      continue;
    }
    // The relaying instance answers when its own read ends. A pause here would
    // miss the end of its next read.
    if (this->Relayed && this->Settings.Period <= this->Settings.Wait)
      continue;
    const Clock::duration Passed = Clock::now() - Start;
    if (this->Loaded && Passed < this->Settings.Period)
      co_await this->pauseFor(this->Settings.Period - Passed);
  }
}

} // namespace rr
