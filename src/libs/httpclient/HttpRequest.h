#ifndef REDWINGRACK_HTTPCLIENT_HTTPREQUEST_H
#define REDWINGRACK_HTTPCLIENT_HTTPREQUEST_H

#include "base/Cancellation.h"
#include "base/HttpHeader.h"

#include <chrono>
#include <string>

namespace rr {

/// A request that HttpClient sends.
struct HttpRequest {
  std::string Method = "GET";
  /// Absolute, with the http scheme.
  std::string Url;
  HttpHeaders Headers;
  std::string Body;
  std::chrono::milliseconds ConnectTimeout{2000};
  /// From the call to the last byte of the answer.
  std::chrono::milliseconds Timeout{5000};
  /// Longest time without any byte moving, rounded up to seconds.
  std::chrono::milliseconds StallTimeout{5000};
  /// Bytes; a longer answer ends with Errc::TooLarge.
  std::size_t MaxResponseBytes = 8U << 20;
  /// The request may be put on the wire once only: it is never resent on
  /// another connection when a kept connection turns out to be closed.
  bool AtMostOnce = true;
  /// May be null.
  CancellationPtr Cancel;
};

} // namespace rr

#endif // REDWINGRACK_HTTPCLIENT_HTTPREQUEST_H
