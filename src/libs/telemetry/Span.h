#ifndef REDWINGRACK_TELEMETRY_SPAN_H
#define REDWINGRACK_TELEMETRY_SPAN_H

#include "base/Clock.h"
#include "telemetry/TraceContext.h"

#include <map>
#include <string>

namespace rr {

/// One timed operation within a trace.
struct Span {
  std::string Name;
  TraceContext Context;
  /// Empty for the root span of a trace.
  std::string ParentSpanId;
  Clock::time_point Start;
  Clock::time_point End;
  /// Must not contain a caller's API key.
  std::map<std::string, std::string> Attributes;
  bool Failed = false;
};

} // namespace rr

#endif // REDWINGRACK_TELEMETRY_SPAN_H
