#ifndef REDWINGRACK_HTTP1_HTTPMESSAGE_H
#define REDWINGRACK_HTTP1_HTTPMESSAGE_H

#include "base/HttpHeader.h"

#include <memory>
#include <string>

namespace rr {

/// HTTP/1.1 request or response with its complete body.
struct HttpMessage {
  /// Empty in a response.
  std::string Method;
  /// Path and query of a request; empty in a response.
  std::string Target;
  /// Zero in a request.
  int Status = 0;
  /// As received. removeHopByHopHeaders() removes the framing and other
  /// hop-by-hop fields.
  HttpHeaders Headers;
  std::string Body;
  /// ByteBudget::Reservation of the body; null when the body is not counted
  /// against a budget.
  std::shared_ptr<void> BodyReservation;
  /// Whether the sender keeps its connection open after this message.
  bool KeepAlive = true;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_HTTPMESSAGE_H
