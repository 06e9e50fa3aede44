#ifndef REDWINGRACK_HTTPCLIENT_HTTPRESULT_H
#define REDWINGRACK_HTTPCLIENT_HTTPRESULT_H

#include "base/HttpHeader.h"

#include <string>
#include <system_error>

namespace rr {

/// What became of a request.
struct HttpResult {
  /// Set when no complete answer came.
  std::error_code Error;
  int Status = 0;
  HttpHeaders Headers;
  std::string Body;
  /// False only when no byte of the request can have left the process.
  bool MayHaveBeenSent = false;
  /// Whether any byte of an answer came.
  bool ResponseStarted = false;
};

} // namespace rr

#endif // REDWINGRACK_HTTPCLIENT_HTTPRESULT_H
