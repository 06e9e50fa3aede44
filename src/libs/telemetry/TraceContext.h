#ifndef REDWINGRACK_TELEMETRY_TRACECONTEXT_H
#define REDWINGRACK_TELEMETRY_TRACECONTEXT_H

#include <optional>
#include <string>

namespace rr {

/// Identity of a span, as carried by the W3C traceparent header.
struct TraceContext {
  /// 32 lower-case hexadecimal digits.
  std::string TraceId;
  /// 16 lower-case hexadecimal digits.
  std::string SpanId;
  bool Sampled = true;
};

/// Parses a traceparent header. Empty when it is not valid.
std::optional<TraceContext> parseTraceParent(const std::string &Text);
std::string formatTraceParent(const TraceContext &Context);

/// Starts a new, sampled trace.
TraceContext newTrace();
/// Starts a new span in the trace of \p Parent.
TraceContext childOf(const TraceContext &Parent);

} // namespace rr

#endif // REDWINGRACK_TELEMETRY_TRACECONTEXT_H
