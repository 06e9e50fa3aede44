#ifndef REDWINGRACK_PEERLINK_LINKCONTEXT_H
#define REDWINGRACK_PEERLINK_LINKCONTEXT_H

#include "peerlink/Envelope.h"
#include "peerlink/LinkEndReason.h"
#include "peerlink/PeerCounters.h"
#include "peerlink/PeerOptions.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace rr {

class Link;

/// State shared by the links of one instance, and the callbacks through which
/// they report to its PeerNode. Owned jointly by the links and the node.
struct LinkContext {
  PeerOptions Options;
  std::string Incarnation;
  PeerCounters Counters;
  std::uint64_t LastSerial = 0;
  /// Total number of unsent bytes of all links.
  std::size_t QueuedBytes = 0;

  /// Called when the other end has been authenticated. Returns the reason for
  /// which the link is to be closed, or nothing to accept it.
  std::function<std::optional<LinkEndReason>(Link &)> OnAuthenticated;
  std::function<void(Link &)> OnUp;
  std::function<void(Link &, Envelope)> OnEnvelope;
  /// Called exactly once per link, also when it never came up.
  std::function<void(Link &, LinkEndReason)> OnEnd;
  /// Whether a retiring link still has open calls in either direction.
  std::function<bool(const Link &)> HasOpenCalls;
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_LINKCONTEXT_H
