#ifndef REDWINGRACK_HTTPCLIENT_HTTPRESULT_H
#define REDWINGRACK_HTTPCLIENT_HTTPRESULT_H

#include "base/HttpHeader.h"
#include "http1/MessageFault.h"

#include <string>
#include <system_error>

namespace rr {

/// Outcome of a request.
struct HttpResult {
  /// Set if no complete response was received.
  std::error_code Error;
  /// What is wrong with the bytes of the server, with Errc::Malformed; None if
  /// only libcurl found them malformed.
  MessageFault Fault = MessageFault::None;
  int Status = 0;
  HttpHeaders Headers;
  std::string Body;
  /// False only if no byte of the request can have been sent.
  bool MayHaveBeenSent = false;
  /// Whether any part of a response was received.
  bool ResponseStarted = false;
};

} // namespace rr

#endif // REDWINGRACK_HTTPCLIENT_HTTPRESULT_H
