#ifndef REDWINGRACK_USAGE_USAGEDUTY_H
#define REDWINGRACK_USAGE_USAGEDUTY_H

#include "base/OneShotEvent.h"
#include "tables/TableStore.h"
#include "usage/UsageBacklog.h"
#include "usage/UsageLease.h"
#include "usage/UsageSettings.h"

#include <asio/io_context.hpp>

#include <memory>
#include <optional>

namespace rr {

/// The lease and the stored reports of one instance: follows the row, claims
/// and renews it, and stores reports in the same transactions. All writes are
/// conditional on the version of the row.
class UsageDuty {
public:
  /// Table and key of the row of the lease, and table of the stored reports.
  static constexpr const char *LeaseTable = "redwingrack";
  static constexpr const char *LeaseKey = "usage";
  static constexpr const char *ReportTable = "redwingrack-usage";

  struct Options {
    std::string Name;
    std::string Incarnation;
    std::string PeerAddress;
    Clock::duration Lease{};
  };

  /// \p Store must outlive the duty.
  UsageDuty(asio::io_context &Context, Options Settings,
            const TableStore &Store);

  /// Adopt rows of the lease's table.
  void applySnapshot(const TableRows &Rows);
  void applyChanges(const TableRows &Rows);
  /// Adopts what another instance knows about the row.
  void observe(const std::optional<UsageLeaseRow> &Row, StoreVersion RowVersion,
               StoreVersion AsOf);

  const UsageLeaseView &view() const { return this->View; }
  bool isHeld() const { return this->Held.has_value(); }
  std::uint64_t token() const { return this->Held ? this->Held->Token : 0; }
  /// The lease while it is held. The row in view() may be an older one if the
  /// store came back from a copy.
  const std::optional<HeldUsageLease> &held() const { return this->Held; }
  /// Whether a report may be written with \p Token now.
  bool mayReport(std::uint64_t Token) const;
  /// Whether the stored reports have been read.
  bool isLoaded() const { return this->Held && this->Loaded; }
  /// Since when the lease is held, on bootTime().
  Clock::time_point heldSince() const { return this->HeldSince; }
  UsageBacklog &backlog() { return this->Backlog; }

  /// Ends the duty if the lease has ended. Called several times a second.
  void expire();
  /// Time from which the lease may be claimed; see claimableFrom().
  Clock::time_point claimableFrom(const std::vector<std::string> &Candidates,
                                  Clock::duration Penalty) const;
  /// Claims the lease. \p First and \p Closable as of makeClaim().
  asio::awaitable<void> claim(UsageWindow First, UsageWindow Closable);
  /// Renews the lease if that is due or rows must be stored, and reads the
  /// stored reports after a claim.
  asio::awaitable<void> maintain();
  /// Ends the duty at once and gives the lease up.
  asio::awaitable<void> release(std::string Reason);

private:
  /// A write of the row that was sent.
  struct Attempt {
    UsageLeaseRow Row;
    /// Of the store as it was known then. In another era the same row is a
    /// restored one, or the write took effect under a condition that means
    /// another row.
    std::uint64_t Era = 0;
    Clock::time_point SentAt{};
    std::vector<UsageWindow> Stored;
    std::vector<UsageWindow> Removed;
  };

  bool isOwn(const UsageLeaseRow &Row) const;
  void applyAttempt(const Attempt &Done, StoreVersion RowVersion);
  /// Keeps the lease if its row was lost in a restore of the store and nobody
  /// else has claimed it. Returns whether it is kept.
  bool keepAfterRestore(const std::optional<UsageLeaseRow> &Row);
  void endDuty(const std::string &Reason);
  /// Writes the row and waits for the answer for a limited time. A lost answer
  /// is replaced by reading the row. Returns whether the write took effect.
  asio::awaitable<bool> commit(Attempt Next, std::vector<TableWrite> Reports);
  asio::awaitable<void> runCommit(UsageLeaseRow Row,
                                  std::vector<TableWrite> Writes,
                                  std::shared_ptr<OneShotEvent> Ended,
                                  std::shared_ptr<std::error_code> Error);
  asio::awaitable<void> renew();
  asio::awaitable<void> readLease();
  /// Reads the row whatever version is known.
  asio::awaitable<void> readWholeTable();
  asio::awaitable<void> load();

  asio::io_context &Context;
  Options Settings;
  const TableStore &Store;
  UsageLeaseView View;
  std::optional<HeldUsageLease> Held;
  std::optional<Clock::time_point> HeldUntil;
  Clock::time_point HeldSince{};
  Clock::time_point StartedAt;
  bool Loaded = false;
  UsageBacklog Backlog;
  /// Recent writes, by the row's counter of renewals.
  std::map<std::uint64_t, Attempt> Attempts;
  std::uint64_t LastRenewals = 0;
  /// Earliest times of the next write and of the next read of the reports.
  Clock::time_point NextWriteAt{};
  Clock::time_point RenewAt{};
  Clock::time_point NextLoadAt{};
};

} // namespace rr

#endif // REDWINGRACK_USAGE_USAGEDUTY_H
