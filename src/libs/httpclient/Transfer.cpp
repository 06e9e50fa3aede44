#include "httpclient/Transfer.h"

#include "base/Errc.h"
#include "http1/MessageFraming.h"

#include <algorithm>
#include <utility>

namespace rr {

namespace {

constexpr long MaxConnectionIdleSeconds = 15;

std::error_code toError(CURLcode Code) {
  switch (Code) {
  case CURLE_OK:
    return {};
  case CURLE_COULDNT_CONNECT:
    return Errc::ConnectionRefused;
  case CURLE_OPERATION_TIMEDOUT:
    return Errc::Timeout;
  case CURLE_URL_MALFORMAT:
  case CURLE_UNSUPPORTED_PROTOCOL:
  case CURLE_COULDNT_RESOLVE_HOST:
  case CURLE_WEIRD_SERVER_REPLY:
    return Errc::Malformed;
  default:
    return Errc::ConnectionLost;
  }
}

bool hasBody(const HttpRequest &Request) {
  return !Request.Body.empty() || Request.Method == "POST" ||
         Request.Method == "PUT" || Request.Method == "PATCH";
}

std::string trimmed(const std::string &Text) {
  const char *const Whitespace = " \t\r\n";
  const auto First = Text.find_first_not_of(Whitespace);
  if (First == std::string::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Whitespace) - First + 1);
}

} // namespace

Transfer::Transfer(const asio::any_io_executor &Executor, HttpRequest Request)
    : Done(Executor), Request(std::move(Request)), Easy(curl_easy_init()) {
  this->configure();
  this->configureHeaders();
  this->configureBody();
}

Transfer::~Transfer() {
  curl_easy_cleanup(this->Easy);
  curl_slist_free_all(this->HeaderList);
}

void Transfer::configure() {
  using std::chrono::ceil;
  using std::chrono::seconds;
  const auto SetOption = [&](CURLoption Option, auto Value) {
    curl_easy_setopt(this->Easy, Option, Value);
  };
  SetOption(CURLOPT_URL, this->Request.Url.c_str());
  SetOption(CURLOPT_PRIVATE, this);
  SetOption(CURLOPT_NOSIGNAL, 1L);
  SetOption(CURLOPT_PROXY, "");
  SetOption(CURLOPT_PROTOCOLS_STR, "http");
  SetOption(CURLOPT_HTTP_VERSION, long{CURL_HTTP_VERSION_1_1});
  SetOption(CURLOPT_TCP_NODELAY, 1L);
  SetOption(CURLOPT_TCP_KEEPALIVE, 1L);
  SetOption(CURLOPT_TCP_KEEPIDLE, 5L);
  SetOption(CURLOPT_TCP_KEEPINTVL, 2L);
  SetOption(CURLOPT_MAXAGE_CONN, MaxConnectionIdleSeconds);
  SetOption(CURLOPT_CONNECTTIMEOUT_MS,
            static_cast<long>(this->Request.ConnectTimeout.count()));
  SetOption(CURLOPT_TIMEOUT_MS,
            static_cast<long>(std::max<std::chrono::milliseconds::rep>(
                1, this->Request.Timeout.count())));
  SetOption(CURLOPT_LOW_SPEED_LIMIT, 1L);
  SetOption(
      CURLOPT_LOW_SPEED_TIME,
      static_cast<long>(ceil<seconds>(this->Request.StallTimeout).count()));
  SetOption(CURLOPT_HEADERFUNCTION, &Transfer::onHeader);
  SetOption(CURLOPT_HEADERDATA, this);
  SetOption(CURLOPT_WRITEFUNCTION, &Transfer::onBody);
  SetOption(CURLOPT_WRITEDATA, this);
  SetOption(CURLOPT_PREREQFUNCTION, &Transfer::onBeforeRequest);
  SetOption(CURLOPT_PREREQDATA, this);
}

void Transfer::configureHeaders() {
  // Suppresses headers that libcurl adds by default.
  for (const char *Suppressed : {"Expect:", "Accept:", "User-Agent:"})
    this->HeaderList = curl_slist_append(this->HeaderList, Suppressed);
  if (!findHeader(this->Request.Headers, "Content-Type"))
    this->HeaderList = curl_slist_append(this->HeaderList, "Content-Type:");
  for (const HttpHeader &Field : this->Request.Headers) {
    // libcurl requires a semicolon instead of a colon to send a header with an
    // empty value.
    const std::string Line = Field.Value.empty()
                                 ? Field.Name + ";"
                                 : Field.Name + ": " + Field.Value;
    this->HeaderList = curl_slist_append(this->HeaderList, Line.c_str());
  }
  curl_easy_setopt(this->Easy, CURLOPT_HTTPHEADER, this->HeaderList);
}

void Transfer::configureBody() {
  if (this->Request.Method == "HEAD")
    curl_easy_setopt(this->Easy, CURLOPT_NOBODY, 1L);
  if (hasBody(this->Request)) {
    curl_easy_setopt(this->Easy, CURLOPT_POST, 1L);
    curl_easy_setopt(this->Easy, CURLOPT_POSTFIELDS,
                     this->Request.Body.c_str());
    curl_easy_setopt(this->Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(this->Request.Body.size()));
  }
  curl_easy_setopt(this->Easy, CURLOPT_CUSTOMREQUEST,
                   this->Request.Method.c_str());
}

void Transfer::setMaxConnectionAge(Clock::duration Age) {
  const long Seconds = static_cast<long>(
      std::chrono::duration_cast<std::chrono::seconds>(Age).count());
  if (Seconds < 1)
    curl_easy_setopt(this->Easy, CURLOPT_FRESH_CONNECT, 1L);
  else
    curl_easy_setopt(this->Easy, CURLOPT_MAXLIFETIME_CONN, Seconds);
}

int Transfer::onBeforeRequest(void *Self, char *, char *, int, int) {
  auto *This = static_cast<Transfer *>(Self);
  // libcurl resends a request by itself when a reused connection turns out to
  // be closed, but the first attempt may have reached the server.
  if (This->Result.MayHaveBeenSent && This->Request.AtMostOnce)
    return CURL_PREREQFUNC_ABORT;
  This->Result.MayHaveBeenSent = true;
  return CURL_PREREQFUNC_OK;
}

std::size_t Transfer::onHeader(char *Data, std::size_t Size, std::size_t Count,
                               void *Self) {
  auto *This = static_cast<Transfer *>(Self);
  // libcurl ends the transfer if fewer bytes are taken.
  return This->readHeaderLine({Data, Size * Count}) ? Size * Count : 0;
}

bool Transfer::readHeaderLine(std::string_view Line) {
  this->Result.ResponseStarted = true;
  const bool Starts = Line.compare(0, 5, "HTTP/") == 0;
  if (Starts) {
    this->Syntax = MessageSyntax(MessageSyntax::Start::StatusLine);
    this->Result.Headers.clear();
  }
  // Trailer fields are not part of the header section.
  if (this->Syntax.isHeaderComplete())
    return true;
  this->Syntax.check(Line);
  this->Result.Fault = this->Syntax.fault();
  if (const auto Colon = Line.find(':');
      !Starts && Colon != std::string_view::npos)
    this->Result.Headers.push_back(
        {std::string(Line.substr(0, Colon)),
         trimmed(std::string(Line.substr(Colon + 1)))});
  if (this->Syntax.isHeaderComplete())
    this->Result.Fault = this->checkHeader();
  return this->Result.Fault == MessageFault::None;
}

MessageFault Transfer::checkHeader() const {
  long Status = 0;
  curl_easy_getinfo(this->Easy, CURLINFO_RESPONSE_CODE, &Status);
  const bool HasBody =
      this->Request.Method != "HEAD" && !isBodyless(static_cast<int>(Status));
  return HasBody ? framingFault(this->Result.Headers) : MessageFault::None;
}

std::size_t Transfer::onBody(char *Data, std::size_t Size, std::size_t Count,
                             void *Self) {
  auto *This = static_cast<Transfer *>(Self);
  const std::size_t Bytes = Size * Count;
  if (This->Result.Body.size() + Bytes > This->Request.MaxResponseBytes) {
    This->ResponseTooLarge = true;
    return 0;
  }
  This->Result.Body.append(Data, Bytes);
  return Bytes;
}

void Transfer::finish(CURLcode Code) {
  long Status = 0;
  curl_easy_getinfo(this->Easy, CURLINFO_RESPONSE_CODE, &Status);
  this->Result.Status = static_cast<int>(Status);
  if (this->Result.Fault != MessageFault::None)
    this->finish(make_error_code(Errc::Malformed));
  else
    this->finish(this->ResponseTooLarge ? make_error_code(Errc::TooLarge)
                                        : toError(Code));
}

void Transfer::finish(std::error_code Error) {
  this->Result.Error = Error;
  this->Done.set();
}

} // namespace rr
