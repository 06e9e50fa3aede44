#include "instance/Instance.h"

#include "admin/AdminApi.h"
#include "base/Random.h"
#include "base/Timer.h"
#include "forwarding/ServerAttempt.h"
#include "httpclient/HttpClient.h"
#include "httpserver/HttpListener.h"
#include "instance/InstanceCore.h"
#include "instance/PeerAdapter.h"
#include "logging/EventLog.h"
#include "platform/HttpPlatform.h"
#include "telemetry/Metrics.h"
#include "telemetry/SpanExporter.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <utility>

namespace rr {

namespace {

constexpr long ServerConnections = 400;
constexpr long PlatformConnections = 16;
constexpr std::chrono::milliseconds ProbeTimeout{500};
constexpr std::chrono::milliseconds LoadTimeout{500};
constexpr std::size_t LargestLoadAnswer = 64U << 10;
constexpr std::chrono::seconds FlushPeriod{1};
// Answers that are on their way when everything has ended.
constexpr std::chrono::milliseconds LastAnswerTime{200};
constexpr std::size_t MessageOverhead = 64U << 10;

ListenerSettings callerListener(const Settings &Options) {
  ListenerSettings Result;
  Result.Address = Options.CallerListen.Ip;
  Result.Port = Options.CallerListen.Port;
  Result.MaxBodyBytes = Options.MaxRequestBodyBytes;
  Result.MaxConnections = Options.MaxCallerConnections;
  return Result;
}

ListenerSettings adminListener(const Settings &Options) {
  ListenerSettings Result;
  Result.Address = Options.AdminListen.Ip;
  Result.Port = Options.AdminListen.Port;
  Result.MaxBodyBytes = 64U << 20;
  Result.MaxConnections = 256;
  return Result;
}

// Starts of one instance are seconds apart, so that the time of day rises.
std::uint64_t incarnationNow() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Now).count());
}

InstanceOptions coreOptions(const Settings &Options) {
  InstanceOptions Result;
  Result.Name = Options.InstanceName;
  Result.Zone = Options.Zone;
  Result.CallerAddress = Options.AdvertisedCallerAddress;
  Result.PeerAddress = Options.AdvertisedPeerAddress;
  Result.Incarnation = incarnationNow();
  Result.RandomSeed = randomSeed();
  Result.Seeds = Options.PeerSeeds;
  Result.LookupMaxAge = Options.LookupMaxAge;
  Result.StopGrace = Options.StopGrace;
  Result.LongestStop = Options.MaxStopTime;
  return Result;
}

PeerOptions peerOptions(const Settings &Options) {
  PeerOptions Result;
  Result.Name = Options.InstanceName;
  Result.Zone = Options.Zone;
  Result.ListenAddress = formatAddress(Options.PeerListen);
  Result.SharedSecret = Options.PeerSecret;
  // A forwarded request and its answer travel as one message each.
  Result.Limits.MaxMessageBytes =
      std::max(Options.MaxRequestBodyBytes, Options.MaxResponseBodyBytes) +
      MessageOverhead;
  Result.Limits.MaxLinkQueueBytes = 2 * Result.Limits.MaxMessageBytes;
  return Result;
}

} // namespace

class Instance::Implementation {
public:
  Implementation(asio::io_context &Context, Settings Options);

  void start();
  void beginStop();

private:
  BackendNetwork backendNetwork();
  asio::awaitable<bool> probe(BackendServer Server);
  asio::awaitable<Outcome<ServerLoad>> load(BackendServer Server);
  asio::awaitable<void> flushSpans();
  asio::awaitable<void> stop();
  void postSpans(std::string OtlpJson);

  asio::io_context &Context;
  Settings Options;
  HttpClient ServerClient;
  HttpClient PlatformClient;
  Metrics Counters;
  SpanExporter Spans;
  PeerAdapter Peers;
  InstanceCore Core;
  AdminApi Admin;
  HttpListener Callers;
  HttpListener Operators;
  bool Stopping = false;
};

Instance::Implementation::Implementation(asio::io_context &Context,
                                         Settings Given)
    : Context(Context), Options(std::move(Given)),
      ServerClient(Context, ServerConnections),
      PlatformClient(Context, PlatformConnections),
      Spans(
          this->Options.InstanceName, this->Options.SpanFile,
          this->Options.SpanUrl.empty()
              ? SpanExporter::Sender()
              : [this](std::string Text) { this->postSpans(std::move(Text)); }),
      Peers(Context, peerOptions(this->Options), this->Counters),
      Core(Context.get_executor(), coreOptions(this->Options),
           makeHttpPlatform(this->PlatformClient, this->Options.PlatformUrl,
                            this->Options.PlatformTimeout),
           this->Peers.network(), this->backendNetwork(), this->Counters,
           &this->Spans),
      Admin(this->Core.adminServices(), this->Options.OperatorTokens),
      Callers(Context, callerListener(this->Options),
              [this](HttpServerRequest Request) {
                return this->Core.handleCaller(std::move(Request));
              }),
      Operators(Context, adminListener(this->Options),
                [this](HttpServerRequest Request) {
                  return this->Admin.handle(std::move(Request));
                }) {
  this->Peers.attach(this->Core);
}

BackendNetwork Instance::Implementation::backendNetwork() {
  BackendNetwork Result;
  Result.Attempt = [this](BackendServer Server, DispatchRequest Request) {
    return sendToServer(this->ServerClient, &this->Spans, std::move(Server),
                        std::move(Request), this->Options.MaxResponseBodyBytes);
  };
  Result.Probe = [this](BackendServer Server) {
    return this->probe(std::move(Server));
  };
  Result.Load = [this](BackendServer Server) {
    return this->load(std::move(Server));
  };
  return Result;
}

asio::awaitable<bool> Instance::Implementation::probe(BackendServer Server) {
  asio::ip::tcp::socket Socket(this->Context);
  SocketAddress Address;
  if (!parseAddress(Server.Address, Address))
    co_return false;
  const asio::ip::tcp::endpoint Target(asio::ip::make_address(Address.Ip),
                                       Address.Port);
  OneShotEvent Done(this->Context.get_executor());
  bool Accepted = false;
  Socket.async_connect(Target, [&](const asio::error_code &Error) {
    Accepted = !Error;
    Done.set();
  });
  if (!co_await Done.waitUntil(Clock::now() + ProbeTimeout)) {
    Socket.close();
    co_await Done.wait();
  }
  co_return Accepted;
}

asio::awaitable<Outcome<ServerLoad>>
Instance::Implementation::load(BackendServer Server) {
  HttpRequest Request;
  Request.Url = "http://" + Server.Address + "/load";
  Request.ConnectTimeout = LoadTimeout;
  Request.Timeout = LoadTimeout;
  Request.MaxResponseBytes = LargestLoadAnswer;
  const HttpResult Answer =
      co_await this->ServerClient.send(std::move(Request));
  if (Answer.Error)
    co_return tl::unexpected<std::error_code>(Answer.Error);
  // Not found, method not allowed and not implemented.
  if (Answer.Status == 404 || Answer.Status == 405 || Answer.Status == 501)
    co_return failure(Errc::NotFound);
  if (Answer.Status != 200)
    co_return failure(Errc::Unavailable);
  co_return parseServerLoad(Answer.Body);
}

void Instance::Implementation::postSpans(std::string OtlpJson) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Url = this->Options.SpanUrl;
  Request.Headers = {{"Content-Type", "application/json"}};
  Request.Body = std::move(OtlpJson);
  asio::co_spawn(this->Context, this->PlatformClient.send(std::move(Request)),
                 asio::detached);
}

asio::awaitable<void> Instance::Implementation::flushSpans() {
  while (!this->Stopping) {
    co_await sleepFor(FlushPeriod);
    this->Spans.flush();
  }
}

void Instance::Implementation::start() {
  this->Core.start();
  asio::co_spawn(this->Context, this->flushSpans(), asio::detached);
  logEvent(Event::InstanceStarted, {{"instance", this->Options.InstanceName},
                                    {"zone", this->Options.Zone}});
}

void Instance::Implementation::beginStop() {
  if (this->Stopping)
    return;
  this->Stopping = true;
  asio::co_spawn(this->Context, this->stop(), asio::detached);
}

asio::awaitable<void> Instance::Implementation::stop() {
  this->Callers.closeAfterResponse();
  co_await this->Core.leave();
  co_await sleepFor(LastAnswerTime);
  this->Callers.close();
  this->Operators.close();
  this->Peers.stop();
  this->Spans.flush();
  logEvent(Event::InstanceStopped);
  this->Context.stop();
}

Instance::Instance(asio::io_context &Context, Settings Options)
    : Impl(std::make_unique<Implementation>(Context, std::move(Options))) {}

Instance::~Instance() = default;

void Instance::start() { this->Impl->start(); }

void Instance::beginStop() { this->Impl->beginStop(); }

} // namespace rr
