#ifndef REDWINGRACK_LOGGING_EVENT_H
#define REDWINGRACK_LOGGING_EVENT_H

#include <cstdint>

namespace rr {

/// Numbered log events, documented in docs/events.md.
enum class Event : std::uint16_t {
#define EVENT(NUMBER, NAME, SEVERITY, TEXT) NAME = NUMBER,
#include "logging/Events.def"
#undef EVENT
};

} // namespace rr

#endif // REDWINGRACK_LOGGING_EVENT_H
