#ifndef REDWINGRACK_MEMBERSHIP_HEARTBEAT_H
#define REDWINGRACK_MEMBERSHIP_HEARTBEAT_H

#include "membership/LoadReport.h"
#include "membership/PeerHeader.h"

namespace rr {

/// `heartbeat`: member to a relay of its zone. The answer is a Summary.
struct Heartbeat {
  PeerHeader Header;
  LoadReport Load;
};

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_HEARTBEAT_H
