#include "logging/EventLog.h"
#include "tables/BootTime.h"
#include "usage/UsageDuty.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include <algorithm>

namespace rr {

namespace {

/// Time between two renewals: two of them may fail before the lease ends.
constexpr Clock::duration RenewPeriod = std::chrono::seconds(1);
/// Time after which the answer to a write counts as lost and the row is read.
/// The store answers within 250 ms when it is slow; a second attempt must fit
/// into the lease.
constexpr Clock::duration AnswerPatience = std::chrono::milliseconds(700);
/// Pause after a write or a read that failed.
constexpr Clock::duration RetryDelay = std::chrono::milliseconds(250);
/// Writes that are remembered to recognize them when they take effect late.
constexpr std::size_t MaxAttempts = 16;

} // namespace

asio::awaitable<void>
UsageDuty::runCommit(UsageLeaseRow Row, std::vector<TableWrite> Writes,
                     std::shared_ptr<OneShotEvent> Ended,
                     std::shared_ptr<std::error_code> Error) {
  const auto Version = co_await this->Store.Commit(std::move(Writes));
  if (Version)
    this->observe(Row, *Version, *Version);
  *Error = Version ? std::error_code() : Version.error();
  Ended->set();
}

asio::awaitable<bool> UsageDuty::commit(Attempt Next,
                                        std::vector<TableWrite> Reports) {
  const std::uint64_t Renewals =
      std::max(this->LastRenewals,
               this->View.Row ? this->View.Row->Renewals : 0) +
      1;
  this->LastRenewals = Next.Row.Renewals = Renewals;
  Next.SentAt = bootTime();
  Next.Era = this->View.AsOf.Era;
  const StoreVersion Expected = this->View.RowVersion;
  std::vector<TableWrite> Writes = std::move(Reports);
  Writes.push_back({LeaseTable, LeaseKey, encodeLeaseRow(Next.Row), Expected});
  const UsageLeaseRow Row = Next.Row;
  this->Attempts[Renewals] = std::move(Next);
  if (this->Attempts.size() > MaxAttempts)
    this->Attempts.erase(this->Attempts.begin());
  const auto Ended =
      std::make_shared<OneShotEvent>(this->Context.get_executor());
  const auto Error = std::make_shared<std::error_code>();
  asio::co_spawn(this->Context,
                 this->runCommit(Row, std::move(Writes), Ended, Error),
                 asio::detached);
  const bool Answered =
      co_await Ended->waitUntil(Clock::now() + AnswerPatience);
  if (Answered && !*Error)
    co_return true;
  this->NextWriteAt = bootTime() + RetryDelay;
  logEvent(Event::UsageLeaseNotWritten,
           {{"token", std::to_string(Row.Token)},
            {"error", Answered ? Error->message() : "no answer yet"}});
  if (!Answered || *Error != make_error_code(Errc::Unavailable))
    co_await this->readLease();
  // The row has another version than this instance believes; a full read tells.
  if (Answered && *Error == make_error_code(Errc::Conflict) &&
      this->View.RowVersion == Expected)
    co_await this->readWholeTable();
  co_return this->View.Row == Row;
}

asio::awaitable<void> UsageDuty::readLease() {
  auto Rows = co_await this->Store.ReadChanges(LeaseTable, this->View.AsOf,
                                               Clock::duration::zero());
  if (Rows) {
    this->applyChanges(*Rows);
    co_return;
  }
  if (Rows.error() == make_error_code(Errc::Stale))
    co_await this->readWholeTable();
}

asio::awaitable<void> UsageDuty::readWholeTable() {
  const auto All = co_await this->Store.ReadTable(LeaseTable);
  // A read of an older era that was on its way tells nothing.
  if (!All || All->Version.Era < this->View.AsOf.Era)
    co_return;
  this->View.Known = false;
  this->applySnapshot(*All);
}

asio::awaitable<void> UsageDuty::claim(UsageWindow First,
                                       UsageWindow Closable) {
  Attempt Next;
  Next.Row =
      makeClaim(this->View, this->Settings.Name, this->Settings.Incarnation,
                this->Settings.PeerAddress, First, Closable);
  this->RenewAt = bootTime() + RenewPeriod;
  std::vector<TableWrite> NoReports;
  co_await this->commit(std::move(Next), std::move(NoReports));
}

asio::awaitable<void> UsageDuty::maintain() {
  const Clock::time_point Now = bootTime();
  if (!this->Held || Now < this->NextWriteAt)
    co_return;
  if (Now >= this->RenewAt ||
      (this->Loaded && !this->Backlog.unstored().empty()))
    co_await this->renew();
  if (this->Held && !this->Loaded && bootTime() >= this->NextLoadAt)
    co_await this->load();
}

asio::awaitable<void> UsageDuty::renew() {
  this->RenewAt = bootTime() + RenewPeriod;
  Attempt Next;
  Next.Row = this->Held->Row;
  std::vector<TableWrite> Reports;
  if (this->Loaded) {
    Next.Row.Done = this->Backlog.done();
    Next.Row.Era = this->View.AsOf.Era;
    Next.Stored = this->Backlog.unstored();
    Next.Removed = this->Backlog.removable();
    for (const UsageWindow Window : Next.Stored)
      Reports.push_back(
          {ReportTable,
           std::to_string(Window),
           encodePendingReport(this->Backlog.report(Window).Counts),
           {}});
    for (const UsageWindow Window : Next.Removed) {
      Reports.push_back({ReportTable, std::to_string(Window), "", {}});
      Reports.back().Remove = true;
    }
  }
  if (!co_await this->commit(std::move(Next), std::move(Reports)))
    this->RenewAt = bootTime();
}

asio::awaitable<void> UsageDuty::load() {
  const std::uint64_t Token = this->token();
  const auto Rows = co_await this->Store.ReadTable(ReportTable);
  if (this->token() != Token)
    co_return;
  if (!Rows) {
    this->NextLoadAt = bootTime() + RetryDelay;
    logEvent(Event::UsageReportsNotRead, {{"error", Rows.error().message()}});
    co_return;
  }
  // The store came back from a copy since the claim: reports may be missing.
  // The duty ends when the row is seen.
  if (Rows->Version.Era != this->Held->RowVersion.Era) {
    this->NextLoadAt = bootTime() + RetryDelay;
    logEvent(Event::UsageReportsNotRead,
             {{"error", make_error_code(Errc::Stale).message()}});
    co_return;
  }
  std::map<UsageWindow, std::optional<UsageCounts>> Stored;
  for (const TableRow &Row : Rows->Rows) {
    const auto Window = decodeWindowKey(Row.Key);
    const auto Counts = decodePendingReport(Row.Value);
    if (!Window || !Counts)
      logEvent(Event::UsageReportsNotRead,
               {{"row", Row.Key}, {"error", "malformed"}});
    if (Window)
      Stored[*Window] =
          Counts ? std::optional<UsageCounts>(*Counts) : std::nullopt;
  }
  this->Backlog = UsageBacklog(this->Held->Row.Done, std::move(Stored));
  this->Loaded = true;
}

asio::awaitable<void> UsageDuty::release(std::string Reason) {
  if (!this->Held)
    co_return;
  Attempt Next;
  Next.Row = this->Held->Row;
  Next.Row.Released = true;
  if (this->Loaded)
    Next.Row.Done = this->Backlog.done();
  // Reports that were lost in a restore are not stored again here, which the
  // era in the row tells. The duty ends before the row tells so, whatever
  // becomes of the write.
  this->endDuty(Reason);
  std::vector<TableWrite> NoReports;
  co_await this->commit(std::move(Next), std::move(NoReports));
}

} // namespace rr
