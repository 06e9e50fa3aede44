#ifndef REDWINGRACK_LIMITS_ADMISSIONACTIONS_H
#define REDWINGRACK_LIMITS_ADMISSIONACTIONS_H

#include "limits/BorrowRequest.h"
#include "limits/ShareGrant.h"

#include <system_error>
#include <utility>
#include <vector>

namespace rr {

/// What the caller has to do after a call of ShareAdmission.
struct AdmissionActions {
  /// Requests that may run now, by the id that the caller gave them.
  std::vector<std::uint64_t> Admitted;
  /// Requests that are refused, with Stale, NotFound or LimitReached.
  std::vector<std::pair<std::uint64_t, std::error_code>> Refused;
  /// Messages to send.
  std::vector<BorrowRequest> BorrowRequests;
  std::vector<ShareGrant> GrantsToReturn;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_ADMISSIONACTIONS_H
