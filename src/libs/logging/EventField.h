#ifndef REDWINGRACK_LOGGING_EVENTFIELD_H
#define REDWINGRACK_LOGGING_EVENTFIELD_H

#include <string>

namespace rr {

/// Name and value of one field of a log event.
struct EventField {
  std::string Name;
  std::string Value;
};

} // namespace rr

#endif // REDWINGRACK_LOGGING_EVENTFIELD_H
