#ifndef REDWINGRACK_MEMBERSHIP_HEADREAD_H
#define REDWINGRACK_MEMBERSHIP_HEADREAD_H

#include "base/Clock.h"
#include "membership/ControlVersions.h"

namespace rr {

/// A read of `control/head`, as passed on in messages.
struct HeadRead {
  /// Time since the read started, when the message was sent.
  Clock::duration Age{0};
  ControlVersions Seen;
};

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_HEADREAD_H
