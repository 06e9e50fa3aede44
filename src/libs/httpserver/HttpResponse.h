#ifndef REDWINGRACK_HTTPSERVER_HTTPRESPONSE_H
#define REDWINGRACK_HTTPSERVER_HTTPRESPONSE_H

#include "base/HttpHeader.h"

#include <string>

namespace rr {

/// An answer that a listener sends.
struct HttpResponse {
  int Status = 200;
  HttpHeaders Headers;
  std::string Body;
  /// Closes the connection after this answer.
  bool Close = false;
};

/// Answer with a JSON body.
HttpResponse jsonResponse(int Status, std::string Body);

} // namespace rr

#endif // REDWINGRACK_HTTPSERVER_HTTPRESPONSE_H
