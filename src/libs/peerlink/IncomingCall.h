#ifndef REDWINGRACK_PEERLINK_INCOMINGCALL_H
#define REDWINGRACK_PEERLINK_INCOMINGCALL_H

#include "base/Cancellation.h"
#include "base/Clock.h"
#include "base/Outcome.h"
#include "peerlink/Message.h"

#include <functional>
#include <string>

namespace rr {

/// Call received from a peer.
struct IncomingCall {
  std::string Peer;
  Message Request;
  /// When the caller stops waiting for the answer.
  Clock::time_point Deadline;
  /// Cancelled when the caller cancels the call or its link is closed.
  CancellationPtr Cancelled;
  /// Sends the answer; only the first invocation has an effect. The caller gets
  /// Errc::Unknown when all copies are destroyed without an answer. Answer with
  /// Errc::Unavailable, LimitReached, TooLarge, Malformed or NotFound only when
  /// the call had no effect: the caller relies on that.
  std::function<void(Outcome<Message>)> Answer;
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_INCOMINGCALL_H
