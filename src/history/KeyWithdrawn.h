#ifndef REDWINGRACK_HISTORY_KEYWITHDRAWN_H
#define REDWINGRACK_HISTORY_KEYWITHDRAWN_H

#include "base/Clock.h"

#include <string>

namespace rr::history {

/// The system accepted the withdrawal of a key.
struct KeyWithdrawn {
  Clock::time_point At;
  std::string KeyId;
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_KEYWITHDRAWN_H
