#ifndef REDWINGRACK_INSTANCE_DISPATCHOUTCOME_H
#define REDWINGRACK_INSTANCE_DISPATCHOUTCOME_H

#include "forwarding/DispatchResult.h"
#include "routing/RequestOutcome.h"

#include <string>
#include <system_error>

namespace rr {

/// Reason of an owner that has no free slot.
inline constexpr const char *NoSlot = "no_slot";

/// A refusal that says that nothing has run.
DispatchResult notRun(const std::string &Reason);
/// A refusal of a request that may have run.
DispatchResult unknown(const std::string &Reason);

/// Whether the error of a call shows that the peer did not run it.
bool showsNotRun(const std::error_code &Error);

/// Whether the answer, or its absence, counts against the server.
bool isServerFault(const DispatchResult &Result);

/// Whether another server may be asked although no retry is allowed.
bool mayPlaceAgain(const DispatchResult &Result);

RequestOutcome outcomeOf(const DispatchResult &Result);

} // namespace rr

#endif // REDWINGRACK_INSTANCE_DISPATCHOUTCOME_H
