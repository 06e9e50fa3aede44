#ifndef REDWINGRACK_HTTPSERVER_HTTPRESPONSE_H
#define REDWINGRACK_HTTPSERVER_HTTPRESPONSE_H

#include "base/HttpHeader.h"

#include <string>

namespace rr {

/// A response for a listener to send.
struct HttpResponse {
  int Status = 200;
  HttpHeaders Headers;
  std::string Body;
  /// Whether to close the connection after this response.
  bool Close = false;
};

/// Response with a JSON body.
HttpResponse jsonResponse(int Status, std::string Body);

} // namespace rr

#endif // REDWINGRACK_HTTPSERVER_HTTPRESPONSE_H
