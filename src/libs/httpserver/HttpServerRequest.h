#ifndef REDWINGRACK_HTTPSERVER_HTTPSERVERREQUEST_H
#define REDWINGRACK_HTTPSERVER_HTTPSERVERREQUEST_H

#include "base/Cancellation.h"
#include "base/HttpHeader.h"

#include <string>

namespace rr {

/// A complete request received by a listener.
struct HttpServerRequest {
  std::string Method;
  /// Path without the query, still percent-encoded.
  std::string Path;
  /// Query without the question mark, still percent-encoded.
  std::string Query;
  HttpHeaders Headers;
  std::string Body;
  /// IP address of the client.
  std::string RemoteAddress;
  /// Cancelled when the client closes the connection.
  CancellationPtr Cancel;
};

/// Decoded value of a query parameter; empty if it is missing.
std::string queryParameter(const HttpServerRequest &Request,
                           const std::string &Name);

} // namespace rr

#endif // REDWINGRACK_HTTPSERVER_HTTPSERVERREQUEST_H
