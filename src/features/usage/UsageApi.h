#ifndef REDWINGRACK_USAGE_USAGEAPI_H
#define REDWINGRACK_USAGE_USAGEAPI_H

#include "usage/UsageWindow.h"

#include <asio/awaitable.hpp>

#include <functional>
#include <string>
#include <system_error>

namespace rr {

/// One report of one window.
struct UsageReport {
  UsageWindow Window = 0;
  UsageCounts Counts;
  /// Name and fencing token of the holder that sends it.
  std::string Holder;
  std::uint64_t Token = 0;
};

struct UsageCallOptions {
  Clock::time_point Deadline;
  /// Asked directly before the first byte is written; false ends the call.
  std::function<bool()> MayWrite;
};

struct UsageCallResult {
  /// HTTP status; 0 without an answer, see Error.
  int Status = 0;
  std::error_code Error;
};

/// Makes one call of the platform's API. The same report gives the same bytes.
/// After the end of the call nothing of it is transmitted any more. Empty if
/// the platform does not ask for usage reports.
using UsageApi = std::function<asio::awaitable<UsageCallResult>(
    UsageReport Report, UsageCallOptions Options)>;

} // namespace rr

#endif // REDWINGRACK_USAGE_USAGEAPI_H
