#ifndef REDWINGRACK_LIMITS_ADMISSIONACTIONS_H
#define REDWINGRACK_LIMITS_ADMISSIONACTIONS_H

#include "limits/BorrowRequest.h"
#include "limits/ShareGrant.h"

#include <system_error>
#include <utility>
#include <vector>

namespace rr {

/// Actions that the caller carries out after a call of ShareAdmission.
struct AdmissionActions {
  /// Ids, as given to ShareAdmission::submit(), of requests that may run now.
  std::vector<std::uint64_t> Admitted;
  /// Refused requests with Stale, NotFound or LimitReached.
  std::vector<std::pair<std::uint64_t, std::error_code>> Refused;
  /// Messages to send to other instances.
  std::vector<BorrowRequest> BorrowRequests;
  std::vector<ShareGrant> GrantsToReturn;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_ADMISSIONACTIONS_H
