#ifndef REDWINGRACK_USAGE_USAGELEASE_H
#define REDWINGRACK_USAGE_USAGELEASE_H

#include "tables/StoreVersion.h"
#include "usage/UsageLeaseRow.h"

#include <optional>
#include <string>
#include <vector>

namespace rr {

/// What an instance knows about the row of the lease. Times are on bootTime().
struct UsageLeaseView {
  bool Known = false;
  /// Empty if there is no row, or none that can be decoded.
  std::optional<UsageLeaseRow> Row;
  /// Version of the row; NoRow if there is none.
  StoreVersion RowVersion;
  /// Version of the store at which this was so.
  StoreVersion AsOf;
  /// When this instance first saw the row like this.
  Clock::time_point SeenSince{};
  /// When it first saw the era of the store. A row that it saw before may have
  /// been replaced since by one that is lost.
  Clock::time_point EraSince{};
  /// Highest token and last finished window in any row that was seen.
  std::uint64_t HighestToken = 0;
  UsageWindow HighestDone = 0;
};

/// Adopts a row, or its absence, as of the store version \p AsOf. Returns false
/// if that is not newer than \p View.
bool observeLease(UsageLeaseView &View, const std::optional<UsageLeaseRow> &Row,
                  StoreVersion RowVersion, StoreVersion AsOf,
                  Clock::time_point Now);

/// A lease as its holder knows it.
struct HeldUsageLease {
  std::uint64_t Token = 0;
  /// When the last successful write was sent, on bootTime().
  Clock::time_point SentAt{};
  /// The row as the holder last wrote it, and its version. The store may have
  /// lost it since.
  UsageLeaseRow Row{};
  StoreVersion RowVersion{};
};

/// Whether \p Row of a new era of the store shows that no other instance has
/// claimed the lease since the claim of \p Held: it is older than that claim,
/// or absent. Claims of a new era have higher tokens.
bool isOlderThanClaim(const std::optional<UsageLeaseRow> &Row,
                      const HeldUsageLease &Held);

/// End of the lease on bootTime(): others may claim it from then on.
Clock::time_point leaseEnd(const HeldUsageLease &Held,
                           Clock::duration Duration);
/// Whether the holder may still write a report to its connection. It stops
/// some time before the end, so that what it wrote has arrived by then.
bool mayAct(const HeldUsageLease &Held, Clock::duration Duration,
            Clock::time_point Now);

/// Inputs of the decision whether an instance may claim the lease. Times are on
/// bootTime().
struct UsageClaimQuery {
  Clock::duration Duration{};
  /// When the process started.
  Clock::time_point StartedAt{};
  /// When this process stopped to hold the lease; empty if it never did.
  std::optional<Clock::time_point> HeldUntil;
  /// Position of this instance among the candidates.
  std::size_t Rank = 0;
  /// Additional wait of an instance that recently could not reach the API.
  Clock::duration Penalty{0};
};

/// Time from which the instance may claim the lease if the row has not changed
/// by then; Clock::time_point::max() before the row is known.
Clock::time_point claimableFrom(const UsageLeaseView &View,
                                const UsageClaimQuery &Query);

/// Position of \p Self among the candidates for the next token. The present
/// holder is not counted: it renews, or it is gone.
std::size_t claimRank(const std::vector<std::string> &Candidates,
                      const std::string &Self, const UsageLeaseView &View);

/// The \p Count candidates of the lowest ranks.
std::vector<std::string> nextCandidates(std::vector<std::string> Candidates,
                                        const UsageLeaseView &View,
                                        std::size_t Count);

/// The row that a claim writes, without the counter of renewals. \p First is
/// the first window to report if no instance has claimed the lease before. The
/// token is above all earlier ones, also if the store came back from a copy
/// and nobody is left who knows them. \p Closable is the last window that an
/// earlier holder may have reported: if stored reports may have been lost, it
/// and earlier ones are not reported any more, since other counts may have
/// been sent.
UsageLeaseRow makeClaim(const UsageLeaseView &View, const std::string &Name,
                        const std::string &Incarnation,
                        const std::string &PeerAddress, UsageWindow First,
                        UsageWindow Closable = 0);

} // namespace rr

#endif // REDWINGRACK_USAGE_USAGELEASE_H
