#include "httpclient/HttpClient.h"

#include "base/Errc.h"
#include "base/Timer.h"
#include "httpclient/SocketWatch.h"
#include "httpclient/Transfer.h"

#include <curl/curl.h>
#include <map>
#include <unordered_map>
#include <utility>

namespace rr {

namespace {

// Scheme and address of a URL, by which libcurl pools connections.
std::string originOf(const std::string &Url) {
  const auto Start = Url.find("://");
  if (Start == std::string::npos)
    return Url;
  return Url.substr(0, Url.find('/', Start + 3));
}

} // namespace

/// Runs one libcurl multi handle on the event loop.
class HttpClient::Implementation {
public:
  Implementation(asio::io_context &Context, long HostConnections);
  ~Implementation();

  asio::awaitable<HttpResult> send(HttpRequest Request);

private:
  static int onSocket(CURL *Easy, curl_socket_t Socket, int Action, void *Self,
                      void *Watch);
  static int onTimer(CURLM *Multi, long TimeoutMilliseconds, void *Self);
  void updateWatch(curl_socket_t Socket, int Action);
  void handleEvents(curl_socket_t Socket, int Events);
  void collectFinished();
  void armTimer(long TimeoutMilliseconds);
  void recordTimeout(const Transfer &Ended);
  void avoidUnresponsiveConnections(Transfer &Next) const;

  asio::io_context &Context;
  CURLM *Multi;
  Timer Timeout;
  std::unordered_map<curl_socket_t, std::shared_ptr<SocketWatch>> Watches;
  // Time of the last time-out of each origin. Connections that were opened
  // before it may be dead and are not reused.
  std::map<std::string, Clock::time_point> LastTimeoutByOrigin;
};

HttpClient::Implementation::Implementation(asio::io_context &Context,
                                           long HostConnections)
    : Context(Context), Multi(curl_multi_init()), Timeout(Context) {
  curl_multi_setopt(this->Multi, CURLMOPT_SOCKETFUNCTION,
                    &Implementation::onSocket);
  curl_multi_setopt(this->Multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(this->Multi, CURLMOPT_TIMERFUNCTION,
                    &Implementation::onTimer);
  curl_multi_setopt(this->Multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(this->Multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                    HostConnections);
}

HttpClient::Implementation::~Implementation() {
  curl_multi_setopt(this->Multi, CURLMOPT_SOCKETFUNCTION, nullptr);
  curl_multi_setopt(this->Multi, CURLMOPT_TIMERFUNCTION, nullptr);
  for (auto &Item : this->Watches)
    Item.second->stop();
  curl_multi_cleanup(this->Multi);
}

int HttpClient::Implementation::onSocket(CURL *, curl_socket_t Socket,
                                         int Action, void *Self, void *) {
  static_cast<Implementation *>(Self)->updateWatch(Socket, Action);
  return 0;
}

int HttpClient::Implementation::onTimer(CURLM *, long TimeoutMilliseconds,
                                        void *Self) {
  static_cast<Implementation *>(Self)->armTimer(TimeoutMilliseconds);
  return 0;
}

void HttpClient::Implementation::updateWatch(curl_socket_t Socket, int Action) {
  auto Found = this->Watches.find(Socket);
  if (Action == CURL_POLL_REMOVE) {
    if (Found == this->Watches.end())
      return;
    Found->second->stop();
    this->Watches.erase(Found);
    return;
  }
  if (Found == this->Watches.end()) {
    auto OnReady = [this, Socket](int Events) {
      this->handleEvents(Socket, Events);
    };
    auto Watch = std::make_shared<SocketWatch>(this->Context, Socket, OnReady);
    Found = this->Watches.emplace(Socket, std::move(Watch)).first;
  }
  Found->second->setInterest((Action & CURL_POLL_IN) != 0,
                             (Action & CURL_POLL_OUT) != 0);
}

void HttpClient::Implementation::armTimer(long TimeoutMilliseconds) {
  this->Timeout.cancel();
  if (TimeoutMilliseconds < 0)
    return;
  this->Timeout.expires_after(std::chrono::milliseconds(TimeoutMilliseconds));
  this->Timeout.async_wait([this](const asio::error_code &Error) {
    if (!Error)
      this->handleEvents(CURL_SOCKET_TIMEOUT, 0);
  });
}

void HttpClient::Implementation::handleEvents(curl_socket_t Socket,
                                              int Events) {
  int Running = 0;
  curl_multi_socket_action(this->Multi, Socket, Events, &Running);
  this->collectFinished();
}

void HttpClient::Implementation::collectFinished() {
  int Left = 0;
  while (CURLMsg *Message = curl_multi_info_read(this->Multi, &Left)) {
    if (Message->msg != CURLMSG_DONE)
      continue;
    const CURLcode Code = Message->data.result;
    CURL *Easy = Message->easy_handle;
    Transfer *Ended = nullptr;
    curl_easy_getinfo(Easy, CURLINFO_PRIVATE, &Ended);
    curl_multi_remove_handle(this->Multi, Easy);
    Ended->finish(Code);
    this->recordTimeout(*Ended);
  }
}

void HttpClient::Implementation::recordTimeout(const Transfer &Ended) {
  const HttpResult &Result = Ended.result();
  if (Result.Error == Errc::Timeout && Result.MayHaveBeenSent)
    this->LastTimeoutByOrigin[originOf(Ended.request().Url)] = Clock::now();
}

void HttpClient::Implementation::avoidUnresponsiveConnections(
    Transfer &Next) const {
  const auto Found =
      this->LastTimeoutByOrigin.find(originOf(Next.request().Url));
  if (Found != this->LastTimeoutByOrigin.end())
    Next.setMaxConnectionAge(Clock::now() - Found->second);
}

asio::awaitable<HttpResult>
HttpClient::Implementation::send(HttpRequest Request) {
  const CancellationPtr Cancel = Request.Cancel;
  auto Current = std::make_shared<Transfer>(this->Context.get_executor(),
                                            std::move(Request));
  this->avoidUnresponsiveConnections(*Current);
  if (Cancel)
    Cancel->onCancel([this, Weak = std::weak_ptr<Transfer>(Current)] {
      const auto Cancelled = Weak.lock();
      if (!Cancelled || Cancelled->Done.isSet())
        return;
      curl_multi_remove_handle(this->Multi, Cancelled->easy());
      Cancelled->finish(make_error_code(Errc::Cancelled));
    });
  if (!Current->Done.isSet()) {
    curl_multi_add_handle(this->Multi, Current->easy());
    co_await Current->Done.wait();
  }
  co_return Current->result();
}

HttpClient::HttpClient(asio::io_context &Context, long HostConnections)
    : Impl(std::make_unique<Implementation>(Context, HostConnections)) {}

HttpClient::~HttpClient() = default;

asio::awaitable<HttpResult> HttpClient::send(HttpRequest Request) {
  return this->Impl->send(std::move(Request));
}

} // namespace rr
