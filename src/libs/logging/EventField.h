#ifndef REDWINGRACK_LOGGING_EVENTFIELD_H
#define REDWINGRACK_LOGGING_EVENTFIELD_H

#include <string>

namespace rr {

/// One name=value pair of a logged event.
struct EventField {
  std::string Name;
  std::string Value;
};

} // namespace rr

#endif // REDWINGRACK_LOGGING_EVENTFIELD_H
