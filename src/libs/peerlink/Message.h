#ifndef REDWINGRACK_PEERLINK_MESSAGE_H
#define REDWINGRACK_PEERLINK_MESSAGE_H

#include <string>

namespace rr {

/// Type one instance says to another: a method name and opaque bytes, which
/// are CBOR by convention (MessageBody.h).
struct Message {
  /// Printable ASCII without spaces, at most 64 characters.
  std::string Method;
  std::string Body;
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_MESSAGE_H
