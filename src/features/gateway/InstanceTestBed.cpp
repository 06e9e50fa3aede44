#include "gateway/InstanceTestBed.h"

#include "base/Timer.h"
#include "testing/RunReady.h"

namespace rr {

InstanceTestBed::InstanceTestBed(double Capacity, std::size_t Descriptors,
                                 UsageApi ReportUsage, double MemoryMiB) {
  Clock::pause();
  GatewaySettings Settings = testSettings();
  Settings.CpuShare = Capacity;
  Settings.Descriptors = Descriptors;
  Settings.MemoryMiB = MemoryMiB;
  this->Instance = std::make_unique<SteeringInstance>(
      this->Context, Settings, this->Tables.tables(), testCodec(this->Configs),
      std::move(ReportUsage));
}

InstanceTestBed::~InstanceTestBed() { Clock::resume(); }

HttpMessage InstanceTestBed::goodAnswer(const HttpMessage &Request) {
  HttpMessage Reply;
  Reply.Status = 200;
  if (const std::string *Id = findHeader(Request.Headers, "Id"))
    Reply.Headers.push_back({"Id", *Id});
  Reply.Headers.push_back({"Stamp", "s"});
  Reply.Body = "whole body";
  return Reply;
}

HttpMessage InstanceTestBed::notRunAnswer(const HttpMessage &Request) {
  HttpMessage Reply = goodAnswer(Request);
  Reply.Status = 503;
  Reply.Headers.push_back({"Not-Run", "1"});
  return Reply;
}

InstanceTestBed::Backend &InstanceTestBed::addBackend(const std::string &Id,
                                                      const std::string &Zone) {
  Backend &Item = this->Backends[Id];
  Item.Server = std::make_unique<HttpServer>(
      this->Context,
      [&Item](HttpMessage Request,
              CancellationPtr Cancel) -> asio::awaitable<HttpMessage> {
        Cancel->onCancel([&Item] { ++Item.Cancelled; });
        Item.Requests.push_back(Request);
        while (Item.Hold && !Cancel->isCancelled())
          co_await sleepFor(std::chrono::milliseconds(5));
        if (Item.Answers.empty())
          co_return goodAnswer(Request);
        const auto Answer = Item.Answers.front();
        Item.Answers.pop_front();
        co_return Answer(Request);
      });
  if (!Item.Server->listen("127.0.0.1:0"))
    std::abort();
  Item.Address = "127.0.0.1:" + std::to_string(Item.Server->port());
  this->putBackend(Id, Zone);
  return Item;
}

void InstanceTestBed::putBackend(const std::string &Id, const std::string &Zone,
                                 bool Draining) {
  this->Tables.put("backends", Id,
                   this->Backends.at(Id).Address + " " + Zone +
                       (Draining ? " draining" : " ready"));
}

void InstanceTestBed::configure(std::uint64_t Version,
                                std::vector<std::string> Keys, double Rate) {
  this->Configs[Version] =
      testConfiguration(Version, {Keys.begin(), Keys.end()}, Rate, Rate);
  this->Tables.put("orders", "config", std::to_string(Version));
}

void InstanceTestBed::advance(Clock::duration Time) {
  constexpr Clock::duration Step = std::chrono::milliseconds(10);
  for (Clock::duration Passed{0}; Passed < Time; Passed += Step) {
    Clock::advance(Step);
    runReady(this->Context);
  }
}

std::string InstanceTestBed::request(const std::string &Method,
                                     const std::string &Target,
                                     const std::string &Key) {
  LoopbackClient Peer(this->Context, this->Instance->callerPort());
  static int LastId = 0;
  Peer.send(Method + " " + Target + " HTTP/1.1\r\nHost: h\r\nId: " +
            std::to_string(++LastId) + "\r\nDeadline: 1500\r\n" +
            (Key.empty() ? "" : "Key: " + Key + "\r\n") +
            "Workspace: forged\r\nConnection: close\r\n\r\n");
  for (int Step = 0; Step < 400 && !Peer.Ended; ++Step) {
    runReady(this->Context);
    if (!Peer.Ended)
      this->advance(std::chrono::milliseconds(10));
  }
  return Peer.Received;
}

std::string InstanceTestBed::metrics() {
  LoopbackClient Peer(this->Context, this->Instance->metricsPort());
  Peer.send("GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n");
  for (int Step = 0; Step < 100 && !Peer.Ended; ++Step)
    this->advance(std::chrono::milliseconds(10));
  return Peer.Received;
}

std::size_t InstanceTestBed::arrivals() const {
  std::size_t Count = 0;
  for (const auto &Item : this->Backends)
    Count += Item.second.Requests.size();
  return Count;
}

} // namespace rr
