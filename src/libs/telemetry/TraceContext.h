#ifndef REDWINGRACK_TELEMETRY_TRACECONTEXT_H
#define REDWINGRACK_TELEMETRY_TRACECONTEXT_H

#include <optional>
#include <string>

namespace rr {

/// Identity of a span as the W3C traceparent header carries it.
struct TraceContext {
  /// 32 lower-case hexadecimal digits.
  std::string TraceId;
  /// 16 lower-case hexadecimal digits.
  std::string SpanId;
  bool Sampled = true;
};

/// Reads a traceparent header; empty when it does not have the W3C form.
std::optional<TraceContext> parseTraceParent(const std::string &Text);
std::string formatTraceParent(const TraceContext &Context);

/// A new trace.
TraceContext newTrace();
/// A new span in the trace of \p Parent.
TraceContext childOf(const TraceContext &Parent);

} // namespace rr

#endif // REDWINGRACK_TELEMETRY_TRACECONTEXT_H
