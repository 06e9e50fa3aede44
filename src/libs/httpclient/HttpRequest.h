#ifndef REDWINGRACK_HTTPCLIENT_HTTPREQUEST_H
#define REDWINGRACK_HTTPCLIENT_HTTPREQUEST_H

#include "base/Cancellation.h"
#include "base/HttpHeader.h"

#include <chrono>
#include <string>

namespace rr {

/// A request for HttpClient to send.
struct HttpRequest {
  std::string Method = "GET";
  /// Absolute URL with the http scheme.
  std::string Url;
  HttpHeaders Headers;
  std::string Body;
  std::chrono::milliseconds ConnectTimeout{2000};
  /// From the call to the last byte of the response.
  std::chrono::milliseconds Timeout{5000};
  /// Maximum time without any data transferred, rounded up to whole seconds.
  std::chrono::milliseconds StallTimeout{5000};
  /// Maximum size of the response body; a larger one fails with
  /// Errc::TooLarge.
  std::size_t MaxResponseBytes = 8U << 20;
  /// Send the request at most once: it is not resent on another connection
  /// when the server has closed a reused one.
  bool AtMostOnce = true;
  /// May be null.
  CancellationPtr Cancel;
};

} // namespace rr

#endif // REDWINGRACK_HTTPCLIENT_HTTPREQUEST_H
