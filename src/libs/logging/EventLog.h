#ifndef REDWINGRACK_LOGGING_EVENTLOG_H
#define REDWINGRACK_LOGGING_EVENTLOG_H

#include "logging/Event.h"
#include "logging/EventField.h"

#include <string>
#include <vector>

namespace rr {

/// How and where events are written.
struct EventLogSettings {
  bool Json = false;
  /// debug, info, warning or error.
  std::string Level = "info";
  /// Standard error, unless set otherwise. Writing never waits for a reader.
  int Descriptor = 2;
};

void startEventLog(const EventLogSettings &Settings);

/// Writes one line for the event. Never pass a caller's key.
void logEvent(Event Number, const std::vector<EventField> &Fields = {});

/// Whether debug events are written, for callers that would build costly
/// fields in vain.
bool isDebugLoggingEnabled();

/// The catalogue of all events as a Markdown table.
std::string eventCatalogue();

} // namespace rr

#endif // REDWINGRACK_LOGGING_EVENTLOG_H
