#ifndef REDWINGRACK_INSTANCE_STORECOUNTER_H
#define REDWINGRACK_INSTANCE_STORECOUNTER_H

#include "platform/Platform.h"

namespace rr {

class Metrics;

/// The same services, with each call counted by its result. \p Counters
/// outlives the result.
Platform countStoreCalls(Platform Store, Metrics &Counters);

} // namespace rr

#endif // REDWINGRACK_INSTANCE_STORECOUNTER_H
