#ifndef REDWINGRACK_PEERLINK_INCOMINGCALL_H
#define REDWINGRACK_PEERLINK_INCOMINGCALL_H

#include "base/Cancellation.h"
#include "base/Clock.h"
#include "base/Outcome.h"
#include "peerlink/Message.h"

#include <functional>
#include <string>

namespace rr {

/// A call that a peer made.
struct IncomingCall {
  std::string Peer;
  Message Request;
  /// The caller waits no longer than this.
  Clock::time_point Deadline;
  /// Cancelled when the caller gave up or its link went down.
  CancellationPtr Cancelled;
  /// Sends the answer; only the first use counts. When all copies are gone
  /// without an answer, the caller gets Errc::Unknown. The caller takes
  /// Errc::Unavailable, LimitReached, TooLarge, Malformed and NotFound as proof
  /// that the call had no effect.
  std::function<void(Outcome<Message>)> Answer;
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_INCOMINGCALL_H
