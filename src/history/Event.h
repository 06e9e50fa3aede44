#ifndef REDWINGRACK_HISTORY_EVENT_H
#define REDWINGRACK_HISTORY_EVENT_H

#include "history/CallerAnswered.h"
#include "history/CallerSent.h"
#include "history/ConfigAccepted.h"
#include "history/ConfigObserved.h"
#include "history/InstanceChange.h"
#include "history/KeyIssued.h"
#include "history/KeyWithdrawn.h"
#include "history/RegionCapacity.h"
#include "history/RolloutStage.h"
#include "history/ServerBegan.h"
#include "history/ServerDrain.h"
#include "history/ServerEnded.h"
#include "history/ShiftCap.h"
#include "history/VersionFaulty.h"
#include "history/VersionTakenBack.h"
#include "history/WorkspaceLimits.h"

#include <string>
#include <variant>

namespace rr::history {

/// Anything that an observer outside the system records.
using Event = std::variant<CallerSent, CallerAnswered, ServerBegan, ServerEnded,
                           KeyIssued, KeyWithdrawn, ConfigAccepted,
                           ConfigObserved, ServerDrain, ShiftCap, RolloutStage,
                           VersionFaulty, VersionTakenBack, InstanceChange,
                           RegionCapacity, WorkspaceLimits>;

/// When the event happened.
Clock::time_point timeOf(const Event &Item);

/// One line of text: time in seconds, name and fields of the event.
std::string describe(const Event &Item);

/// Seconds since the epoch of the clock, with milliseconds.
std::string describe(Clock::time_point Time);

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_EVENT_H
