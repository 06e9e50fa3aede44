#ifndef REDWINGRACK_LIMITS_BORROWREQUEST_H
#define REDWINGRACK_LIMITS_BORROWREQUEST_H

#include "limits/ShareHolder.h"
#include "limits/ShareUnits.h"

namespace rr {

/// Request for tokens from an instance whose bucket is empty.
struct BorrowRequest {
  ShareHolder Borrower;
  ShareHolder Lender;
  std::uint64_t Epoch = 0;
  std::string Workspace;
  MicroRequests Wanted = 0;
  /// Tokens that the borrower holds. If two instances borrow from each other at
  /// the same time, the one with fewer tokens lends to the other.
  MicroRequests Gathered = 0;

  bool operator==(const BorrowRequest &) const = default;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_BORROWREQUEST_H
