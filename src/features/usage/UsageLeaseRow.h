#ifndef REDWINGRACK_USAGE_USAGELEASEROW_H
#define REDWINGRACK_USAGE_USAGELEASEROW_H

#include "base/Outcome.h"
#include "usage/UsageWindow.h"

#include <string>

namespace rr {

/// The row of the lease.
struct UsageLeaseRow {
  /// Name, run of the process and link address, IP:PORT, of the instance that
  /// wrote the row last.
  std::string Holder;
  std::string Incarnation;
  std::string PeerAddress;
  /// Rises with each claim.
  std::uint64_t Token = 0;
  /// The first window that is reported at all.
  UsageWindow First = 0;
  /// Last window that needs no report any more: its report was accepted, or it
  /// was left out.
  UsageWindow Done = 0;
  /// Rises with each write, so that a holder can tell which of its writes took
  /// effect.
  std::uint64_t Renewals = 0;
  /// Era of the store in which the holder last stored all its reports. In a
  /// later era, reports that were sent may be missing among the stored ones.
  std::uint64_t Era = 0;
  /// The holder gave the lease up.
  bool Released = false;

  bool operator==(const UsageLeaseRow &) const = default;
};

/// Encode and decode the row of the lease and the row of a pending report.
/// Errc::Malformed for other values.
std::string encodeLeaseRow(const UsageLeaseRow &Row);
Outcome<UsageLeaseRow> decodeLeaseRow(const std::string &Value);
std::string encodePendingReport(const UsageCounts &Counts);
Outcome<UsageCounts> decodePendingReport(const std::string &Value);
/// Decodes the key of a pending report.
Outcome<UsageWindow> decodeWindowKey(const std::string &Key);

} // namespace rr

#endif // REDWINGRACK_USAGE_USAGELEASEROW_H
