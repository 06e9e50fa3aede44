#ifndef REDWINGRACK_INSTANCE_STORECOUNTER_H
#define REDWINGRACK_INSTANCE_STORECOUNTER_H

#include "platform/Platform.h"

namespace rr {

class Metrics;
class SpanExporter;

/// The same services, with each call counted by its result and traced by a
/// span of its own. Both outlive the result; \p Spans may be null.
Platform countStoreCalls(Platform Store, Metrics &Counters,
                         SpanExporter *Spans);

} // namespace rr

#endif // REDWINGRACK_INSTANCE_STORECOUNTER_H
