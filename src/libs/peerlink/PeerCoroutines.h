#ifndef REDWINGRACK_PEERLINK_PEERCOROUTINES_H
#define REDWINGRACK_PEERLINK_PEERCOROUTINES_H

#include "peerlink/PeerNode.h"

#include <asio/awaitable.hpp>
#include <functional>
#include <string>

namespace rr {

/// PeerNode::call() for coroutines. The request goes on to its deadline when
/// the coroutine is dropped. With \p Caller, its cancellation cancels the
/// call.
asio::awaitable<Outcome<Message>> callPeer(PeerNode &Node, std::string Peer,
                                           Message Request,
                                           Clock::time_point Deadline,
                                           CancellationPtr Caller = nullptr);

/// Registers a coroutine that answers calls of \p Method. It runs on the
/// node's executor; an exception that leaves it ends the call with
/// Errc::Unknown.
void onCallCoroutine(
    PeerNode &Node, const std::string &Method,
    std::function<asio::awaitable<Outcome<Message>>(IncomingCall)> Handler);

} // namespace rr

#endif // REDWINGRACK_PEERLINK_PEERCOROUTINES_H
