#ifndef REDWINGRACK_PEERLINK_MESSAGE_H
#define REDWINGRACK_PEERLINK_MESSAGE_H

#include <string>

namespace rr {

/// Message between instances: a method name and an opaque body, which is CBOR
/// by convention (see MessageBody.h).
struct Message {
  /// Printable ASCII without spaces, at most 64 characters.
  std::string Method;
  std::string Body;
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_MESSAGE_H
