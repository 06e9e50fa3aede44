#ifndef REDWINGRACK_USAGE_USAGEMESSAGES_H
#define REDWINGRACK_USAGE_USAGEMESSAGES_H

#include "base/Outcome.h"
#include "tables/StoreVersion.h"
#include "usage/UsageLeaseRow.h"
#include "usage/UsageWindow.h"

#include <optional>
#include <string>

namespace rr {

/// Counts of one instance, sent to the holder.
struct UsageCountsMessage {
  std::string Name;
  std::string Incarnation;
  /// Rises with each message of an incarnation.
  std::uint64_t Sequence = 0;
  /// The window in which the incarnation began to count.
  UsageWindow FirstWindow = 0;
  /// The sender's system clock, without correction.
  TrueTime SentAt{};
  /// Running totals of the windows that changed.
  std::map<UsageWindow, UsageCounts> Windows;
};

/// Answer of the holder.
struct UsageCountsAnswer {
  /// The row of the lease as last written, and its version.
  UsageLeaseRow Lease;
  StoreVersion LeaseVersion;
  /// This window and earlier ones are closed.
  UsageWindow ClosedThrough = 0;
  /// The holder's true time.
  TrueTime Time{};
  /// The holder's own counts, for the instances that may be the next holder.
  std::optional<UsageCountsMessage> OwnCounts;
};

/// Encode and decode the messages as CBOR. Errc::Malformed for invalid bodies.
std::string encodeCountsMessage(const UsageCountsMessage &Message);
Outcome<UsageCountsMessage> decodeCountsMessage(const std::string &Body);
std::string encodeCountsAnswer(const UsageCountsAnswer &Answer);
Outcome<UsageCountsAnswer> decodeCountsAnswer(const std::string &Body);

} // namespace rr

#endif // REDWINGRACK_USAGE_USAGEMESSAGES_H
