#ifndef REDWINGRACK_TELEMETRY_METRIC_H
#define REDWINGRACK_TELEMETRY_METRIC_H

namespace rr {

/// Metrics of the process, documented in docs/metrics.md.
enum class Metric {
#define METRIC(KIND, IDENTIFIER, NAME, LABELS, HELP) IDENTIFIER,
#include "telemetry/Metrics.def"
#undef METRIC
};

} // namespace rr

#endif // REDWINGRACK_TELEMETRY_METRIC_H
