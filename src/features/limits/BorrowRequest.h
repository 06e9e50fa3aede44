#ifndef REDWINGRACK_LIMITS_BORROWREQUEST_H
#define REDWINGRACK_LIMITS_BORROWREQUEST_H

#include "limits/ShareHolder.h"
#include "limits/ShareUnits.h"

namespace rr {

/// Request for tokens of an instance whose bucket is empty.
struct BorrowRequest {
  ShareHolder Borrower;
  ShareHolder Lender;
  std::uint64_t Epoch = 0;
  std::string Workspace;
  MicroRequests Wanted = 0;
  /// Tokens that the borrower has. Of two instances that gather tokens at the
  /// same time, the one with fewer lends to the other.
  MicroRequests Gathered = 0;

  bool operator==(const BorrowRequest &) const = default;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_BORROWREQUEST_H
