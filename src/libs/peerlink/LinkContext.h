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

/// Type the links of one instance share, and the calls by which they report.
/// Outlives the links only through shared ownership.
struct LinkContext {
  PeerOptions Options;
  std::string Incarnation;
  PeerCounters Counters;
  std::uint64_t LastSerial = 0;
  /// Bytes that wait on all links together.
  std::size_t QueuedBytes = 0;

  /// The other end is authenticated. Returns why the link is not wanted, or
  /// nothing when it is.
  std::function<std::optional<LinkEndReason>(Link &)> OnAuthenticated;
  std::function<void(Link &)> OnUp;
  std::function<void(Link &, Envelope)> OnEnvelope;
  /// Called once for each link, whether or not it was up.
  std::function<void(Link &, LinkEndReason)> OnEnd;
  /// Whether calls are still open on a link that is to be retired.
  std::function<bool(const Link &)> HasOpenCalls;
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_LINKCONTEXT_H
