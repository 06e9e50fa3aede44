#ifndef REDWINGRACK_HISTORY_KEYISSUED_H
#define REDWINGRACK_HISTORY_KEYISSUED_H

#include "base/Clock.h"

#include <string>

namespace rr::history {

/// An operator issued a key.
struct KeyIssued {
  Clock::time_point At;
  std::string KeyId;
  std::string Workspace;
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_KEYISSUED_H
