#ifndef REDWINGRACK_HTTPSERVER_HTTPSERVERREQUEST_H
#define REDWINGRACK_HTTPSERVER_HTTPSERVERREQUEST_H

#include "base/Cancellation.h"
#include "base/HttpHeader.h"

#include <string>

namespace rr {

/// A complete request that a listener received.
struct HttpServerRequest {
  std::string Method;
  /// Path without the query, not decoded.
  std::string Path;
  /// Without the question mark.
  std::string Query;
  HttpHeaders Headers;
  std::string Body;
  /// IP number of the other end.
  std::string RemoteAddress;
  /// Cancelled when the connection of the caller closes.
  CancellationPtr Cancel;
};

/// Value of a query parameter, decoded; empty when there is none.
std::string queryParameter(const HttpServerRequest &Request,
                           const std::string &Name);

} // namespace rr

#endif // REDWINGRACK_HTTPSERVER_HTTPSERVERREQUEST_H
