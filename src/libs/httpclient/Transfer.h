#ifndef REDWINGRACK_HTTPCLIENT_TRANSFER_H
#define REDWINGRACK_HTTPCLIENT_TRANSFER_H

#include "base/Clock.h"
#include "base/OneShotEvent.h"
#include "http1/MessageSyntax.h"
#include "httpclient/HttpRequest.h"
#include "httpclient/HttpResult.h"

#include <curl/curl.h>
#include <string>
#include <string_view>

namespace rr {

/// One request as a libcurl easy handle.
class Transfer {
public:
  Transfer(const asio::any_io_executor &Executor, HttpRequest Request);
  ~Transfer();
  Transfer(const Transfer &) = delete;
  Transfer &operator=(const Transfer &) = delete;

  CURL *easy() const { return this->Easy; }
  const HttpRequest &request() const { return this->Request; }
  const HttpResult &result() const { return this->Result; }

  /// Connections older than \p Age are not reused for this transfer.
  void setMaxConnectionAge(Clock::duration Age);

  /// One of these is called once, when the transfer has ended or was cancelled.
  void finish(CURLcode Code);
  void finish(std::error_code Error);

  OneShotEvent Done;

private:
  void configure();
  void configureBody();
  void configureHeaders();
  static int onBeforeRequest(void *Self, char *PeerAddress, char *LocalAddress,
                             int PeerPort, int LocalPort);
  static std::size_t onHeader(char *Data, std::size_t Size, std::size_t Count,
                              void *Self);
  /// Returns false if the response is malformed up to this line.
  bool readHeaderLine(std::string_view Line);
  /// Checks the framing of a response whose header is complete.
  MessageFault checkHeader() const;
  static std::size_t onBody(char *Data, std::size_t Size, std::size_t Count,
                            void *Self);

  HttpRequest Request;
  HttpResult Result;
  CURL *Easy = nullptr;
  curl_slist *HeaderList = nullptr;
  /// Of the current response, final or interim; libcurl accepts more.
  MessageSyntax Syntax{MessageSyntax::Start::StatusLine};
  bool ResponseTooLarge = false;
};

} // namespace rr

#endif // REDWINGRACK_HTTPCLIENT_TRANSFER_H
