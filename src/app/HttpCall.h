#ifndef REDWINGRACK_APP_HTTPCALL_H
#define REDWINGRACK_APP_HTTPCALL_H

#include "base/HttpHeader.h"
#include "base/Outcome.h"

#include <string>

namespace rr {

/// Status and body of an HTTP response.
struct HttpReply {
  int Status = 0;
  std::string Body;
};

/// Sends one request and blocks until its response, for at most 30 s.
Outcome<HttpReply> callHttp(const std::string &Method, const std::string &Url,
                            const HttpHeaders &Headers,
                            const std::string &Body);

} // namespace rr

#endif // REDWINGRACK_APP_HTTPCALL_H
