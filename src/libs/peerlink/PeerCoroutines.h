#ifndef REDWINGRACK_PEERLINK_PEERCOROUTINES_H
#define REDWINGRACK_PEERLINK_PEERCOROUTINES_H

#include "peerlink/PeerNode.h"

#include <asio/awaitable.hpp>
#include <functional>
#include <string>

namespace rr {

/// PeerNode::call() for coroutines. Destroying the coroutine does not cancel
/// the call, which stays open until it is answered or its deadline expires. If
/// \p Caller is given, cancelling it cancels the call.
asio::awaitable<Outcome<Message>> callPeer(PeerNode &Node, std::string Peer,
                                           Message Request,
                                           Clock::time_point Deadline,
                                           CancellationPtr Caller = nullptr);

/// Registers a coroutine that handles calls of \p Method. It runs on the node's
/// executor. If it throws, the caller gets Errc::Unknown.
void onCallCoroutine(
    PeerNode &Node, const std::string &Method,
    std::function<asio::awaitable<Outcome<Message>>(IncomingCall)> Handler);

} // namespace rr

#endif // REDWINGRACK_PEERLINK_PEERCOROUTINES_H
