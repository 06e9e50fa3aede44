#ifndef REDWINGRACK_HISTORY_INSTANCECHANGE_H
#define REDWINGRACK_HISTORY_INSTANCECHANGE_H

#include "base/Clock.h"
#include "history/InstanceState.h"

#include <string>

namespace rr::history {

/// The process of an instance started, was asked to stop, or ended.
struct InstanceChange {
  Clock::time_point At;
  std::string Instance;
  InstanceState State = InstanceState::Started;
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_INSTANCECHANGE_H
