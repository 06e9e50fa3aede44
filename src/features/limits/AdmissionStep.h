#ifndef REDWINGRACK_LIMITS_ADMISSIONSTEP_H
#define REDWINGRACK_LIMITS_ADMISSIONSTEP_H

#include "limits/BorrowRequest.h"
#include "limits/ShareGrant.h"

#include <system_error>
#include <utility>
#include <vector>

namespace rr {

/// What the caller has to do after a call of ShareAdmission.
struct AdmissionStep {
  /// Requests that may run now, by the id that the caller gave them.
  std::vector<std::uint64_t> Admitted;
  /// Requests that are refused, with Stale, NotFound or LimitReached.
  std::vector<std::pair<std::uint64_t, std::error_code>> Refused;
  /// Messages to send.
  std::vector<BorrowRequest> Borrow;
  std::vector<ShareGrant> GiveBack;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_ADMISSIONSTEP_H
