#include "usage/UsageDuty.h"

#include "logging/EventLog.h"
#include "tables/BootTime.h"

#include <algorithm>

namespace rr {

namespace {

std::optional<UsageLeaseRow> decodeRow(const TableRow &Row) {
  const auto Decoded = decodeLeaseRow(Row.Value);
  if (Decoded)
    return *Decoded;
  logEvent(Event::PeerMalformedMessage, {{"row", Row.Key}});
  return std::nullopt;
}

} // namespace

UsageDuty::UsageDuty(asio::io_context &Io, Options Values,
                     const TableStore &Tables)
    : Context(Io), Settings(std::move(Values)), Store(Tables),
      StartedAt(bootTime()) {}

bool UsageDuty::isOwn(const UsageLeaseRow &Row) const {
  return Row.Holder == this->Settings.Name &&
         Row.Incarnation == this->Settings.Incarnation;
}

void UsageDuty::applySnapshot(const TableRows &Rows) {
  const auto Found =
      std::find_if(Rows.Rows.begin(), Rows.Rows.end(),
                   [](const TableRow &Row) { return Row.Key == LeaseKey; });
  if (Found == Rows.Rows.end())
    this->observe(std::nullopt, NoRow, Rows.Version);
  else
    this->observe(decodeRow(*Found), Found->Version, Found->Version);
}

void UsageDuty::applyChanges(const TableRows &Rows) {
  for (const TableRow &Row : Rows.Rows) {
    if (Row.Key != LeaseKey || !this->View.Known ||
        Row.Version <= this->View.AsOf)
      continue;
    if (Row.Deleted)
      this->observe(std::nullopt, NoRow, Row.Version);
    else
      this->observe(decodeRow(Row), Row.Version, Row.Version);
  }
}

void UsageDuty::observe(const std::optional<UsageLeaseRow> &Row,
                        StoreVersion RowVersion, StoreVersion AsOf) {
  const std::string Previous = this->View.Row ? this->View.Row->Holder : "";
  const std::uint64_t PreviousToken =
      this->View.Row ? this->View.Row->Token : 0;
  const std::uint64_t PreviousEra = this->View.AsOf.Era;
  if (!observeLease(this->View, Row, RowVersion, AsOf, bootTime()))
    return;
  if (Row && this->isOwn(*Row)) {
    const auto Found = this->Attempts.find(Row->Renewals);
    if (Found != this->Attempts.end() && Found->second.Row == *Row &&
        Found->second.Era == RowVersion.Era) {
      this->applyAttempt(Found->second, RowVersion);
      return;
    }
  }
  if (this->Held && AsOf.Era != PreviousEra && this->keepAfterRestore(Row))
    return;
  if (this->Held)
    this->endDuty(Row ? "taken_over" : "row_removed");
  if (Row && !Row->Released && Row->Token != PreviousToken)
    logEvent(Event::UsageHolderChanged, {{"holder", Row->Holder},
                                         {"token", std::to_string(Row->Token)},
                                         {"previous", Previous},
                                         {"done", std::to_string(Row->Done)}});
}

bool UsageDuty::keepAfterRestore(const std::optional<UsageLeaseRow> &Row) {
  // Without the stored reports it is not known which of them were lost.
  if (!this->Loaded || !isOlderThanClaim(Row, *this->Held))
    return false;
  logEvent(Event::UsageLeaseNotWritten,
           {{"token", std::to_string(this->Held->Token)},
            {"error", "lost in a restore of the store"}});
  // The other instances wait for the duration of a lease from now on, and this
  // one does not act beyond the last renewal of the earlier era.
  this->RenewAt = this->NextWriteAt = bootTime();
  this->Backlog.forgetRows();
  return true;
}

void UsageDuty::applyAttempt(const Attempt &Done, StoreVersion RowVersion) {
  if (Done.Row.Released) {
    if (this->Held)
      this->endDuty("released");
    return;
  }
  const HeldUsageLease Lease{Done.Row.Token, Done.SentAt, Done.Row, RowVersion};
  if (this->Held && this->Held->Token == Lease.Token) {
    const Clock::time_point SentAt = std::max(this->Held->SentAt, Lease.SentAt);
    this->Held = Lease;
    this->Held->SentAt = SentAt;
    this->Backlog.recordStored(Done.Stored);
    this->Backlog.recordRemoved(Done.Removed);
    return;
  }
  // A write that took effect after the lease it gives had ended is of no use.
  if (bootTime() >= leaseEnd(Lease, this->Settings.Lease))
    return;
  // A renewal cannot revive a lease that has ended: other instances may have
  // counted it as ended too.
  if (this->HeldUntil && Done.SentAt < *this->HeldUntil)
    return;
  this->Held = Lease;
  this->HeldSince = bootTime();
  this->Loaded = false;
  this->Backlog = UsageBacklog();
  logEvent(Event::UsageDutyBegun, {{"token", std::to_string(Lease.Token)},
                                   {"done", std::to_string(Done.Row.Done)}});
}

void UsageDuty::endDuty(const std::string &Reason) {
  logEvent(Event::UsageDutyEnded,
           {{"token", std::to_string(this->Held->Token)},
            {"reason", Reason},
            {"unfinished", std::to_string(this->Backlog.size())}});
  this->HeldUntil = bootTime();
  this->Held.reset();
  this->Loaded = false;
}

bool UsageDuty::mayReport(std::uint64_t Token) const {
  return this->isLoaded() && this->Held->Token == Token &&
         mayAct(*this->Held, this->Settings.Lease, bootTime());
}

void UsageDuty::expire() {
  if (this->Held && bootTime() >= leaseEnd(*this->Held, this->Settings.Lease))
    this->endDuty("lapsed");
}

Clock::time_point
UsageDuty::claimableFrom(const std::vector<std::string> &Candidates,
                         Clock::duration Penalty) const {
  UsageClaimQuery Query;
  Query.Duration = this->Settings.Lease;
  Query.StartedAt = this->StartedAt;
  Query.HeldUntil = this->HeldUntil;
  Query.Rank = claimRank(Candidates, this->Settings.Name, this->View);
  Query.Penalty = Penalty;
  return std::max(rr::claimableFrom(this->View, Query), this->NextWriteAt);
}

} // namespace rr
