#ifndef REDWINGRACK_HTTP1_HTTPMESSAGE_H
#define REDWINGRACK_HTTP1_HTTPMESSAGE_H

#include "base/HttpHeader.h"

#include <memory>
#include <string>

namespace rr {

/// A request or an answer of HTTP/1.1 with its whole body.
struct HttpMessage {
  /// Empty in an answer.
  std::string Method;
  /// Path and query of a request; empty in an answer.
  std::string Target;
  /// Zero in a request.
  int Status = 0;
  /// As received, without framing and other hop-by-hop fields once they went
  /// through removeHopByHopHeaders().
  HttpHeaders Headers;
  std::string Body;
  /// Holds the body's part of a ByteBudget; null when there is none.
  std::shared_ptr<void> BodyReservation;
  /// The sender keeps its connection open after this message.
  bool KeepAlive = true;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_HTTPMESSAGE_H
