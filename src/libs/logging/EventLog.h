#ifndef REDWINGRACK_LOGGING_EVENTLOG_H
#define REDWINGRACK_LOGGING_EVENTLOG_H

#include "logging/Event.h"
#include "logging/EventField.h"

#include <string>
#include <vector>

namespace rr {

/// Format, level and destination of the event log.
struct EventLogSettings {
  bool Json = false;
  /// Lowest severity that is written: debug, info, warning or error.
  std::string Level = "info";
  /// File descriptor to write to, standard error by default. Writing never
  /// blocks; see DescriptorAppender.
  int Descriptor = 2;
};

void startEventLog(const EventLogSettings &Settings);

/// Logs an event as one line. Fields must not contain a caller's API key.
void logEvent(Event Number, const std::vector<EventField> &Fields = {});

/// Whether debug events are written. Lets callers skip building expensive
/// fields.
bool isDebugLoggingEnabled();

/// All events as a Markdown table.
std::string eventCatalogue();

} // namespace rr

#endif // REDWINGRACK_LOGGING_EVENTLOG_H
