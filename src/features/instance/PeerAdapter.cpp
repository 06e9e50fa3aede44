#include "instance/PeerAdapter.h"

#include "instance/InstanceCore.h"
#include "logging/EventLog.h"
#include "peerlink/MessageBody.h"
#include "peerlink/PeerCoroutines.h"
#include "telemetry/Metrics.h"

#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace rr {

namespace {

using nlohmann::json;

constexpr std::array OneWayMethods = {
    "reports", "spillGrant",  "shareRelease", "versionStop",
    "suspect", "controlHint", "ownerAck"};

constexpr std::array CallMethods = {
    "suspect",    "heartbeat",    "zone_summary", "withdraw", "fetch_members",
    "fetch_keys", "fetch_config", "config",       "probe",    "fetch_shares",
    "shareMove",  "spillAsk",     "forward",      "trial"};

// Links are tried again within a second, so a refusal that is older says
// nothing about the present.
constexpr std::chrono::milliseconds RefusalAge{2500};

} // namespace

PeerAdapter::PeerAdapter(asio::io_context &Context, PeerOptions Options,
                         Metrics &Counters)
    : Node(Context, std::move(Options)), Counters(Counters) {
  const auto Started = this->Node.start();
  if (!Started)
    throw std::runtime_error("cannot listen for other instances: " +
                             Started.error().message());
  this->Node.onEvent([this](const PeerEvent &Event) { this->onEvent(Event); });
}

void PeerAdapter::onEvent(const PeerEvent &Seen) {
  switch (Seen.Type) {
  case PeerEvent::Kind::LinkUp:
    this->RefusedAt.erase(Seen.Peer);
    logEvent(Event::PeerUp, {{"peer", Seen.Peer}});
    break;
  case PeerEvent::Kind::LinkDown:
    logEvent(Event::PeerDown, {{"peer", Seen.Peer}});
    break;
  case PeerEvent::Kind::ConnectRefused:
    this->RefusedAt[Seen.Peer] = Clock::now();
    break;
  case PeerEvent::Kind::ConnectFailed:
    this->RefusedAt.erase(Seen.Peer);
    break;
  case PeerEvent::Kind::HandshakeFailed:
    this->Counters.add(Metric::PeerErrors, {{"reason", "handshake"}});
    break;
  }
}

PeerNetwork PeerAdapter::network() {
  PeerNetwork Result;
  Result.Connect = [this](const std::string &Peer, const std::string &Address) {
    static_cast<void>(this->Node.connect(Peer, Address));
  };
  Result.Disconnect = [this](const std::string &Peer) {
    this->Node.disconnect(Peer);
  };
  Result.IsLinked = [this](const std::string &Peer) {
    return this->Node.isLinked(Peer);
  };
  Result.Send = [this](const std::string &Peer, const std::string &Method,
                       const json &Body) {
    this->Counters.add(Metric::PeerMessages,
                       {{"direction", "out"}, {"method", Method}});
    static_cast<void>(this->Node.send(Peer, {Method, encodeBody(Body)}));
  };
  Result.Call = [this](std::string Peer, std::string Method, json Body,
                       Clock::time_point Deadline, CancellationPtr Cancel) {
    return this->call(std::move(Peer), std::move(Method), std::move(Body),
                      Deadline, std::move(Cancel));
  };
  return Result;
}

asio::awaitable<Outcome<json>> PeerAdapter::call(std::string Peer,
                                                 std::string Method, json Body,
                                                 Clock::time_point Deadline,
                                                 CancellationPtr Cancel) {
  this->Counters.add(Metric::PeerMessages,
                     {{"direction", "out"}, {"method", Method}});
  Message Request;
  Request.Method = Method;
  Request.Body = encodeBody(Body);
  const auto Answer = co_await callPeer(this->Node, Peer, std::move(Request),
                                        Deadline, std::move(Cancel));
  if (Answer)
    co_return decodeBody(Answer->Body);
  const auto Refused = this->RefusedAt.find(Peer);
  if (Answer.error() == Errc::Unavailable && !this->Node.isLinked(Peer) &&
      Refused != this->RefusedAt.end() &&
      Clock::now() - Refused->second < RefusalAge)
    co_return failure(Errc::ConnectionRefused);
  co_return tl::unexpected<std::error_code>(Answer.error());
}

asio::awaitable<Outcome<Message>> PeerAdapter::answer(InstanceCore &Core,
                                                      IncomingCall Call) {
  const std::string Peer = Call.Peer;
  const std::string Method = Call.Request.Method;
  const auto Body = decodeBody(Call.Request.Body);
  Outcome<json> Result = failure(Errc::Malformed);
  if (Body)
    Result = co_await Core.onCall(Peer, Method, *Body, Call.Deadline,
                                  Call.Cancelled);
  if (!Result && Result.error() == Errc::Malformed) {
    this->Counters.add(Metric::PeerErrors, {{"reason", "malformed"}});
    logEvent(Event::PeerMalformedMessage, {{"peer", Peer}, {"method", Method}});
    this->Node.reportMalformed(Peer);
  }
  if (!Result)
    co_return tl::unexpected<std::error_code>(Result.error());
  Message Answer;
  Answer.Method = Method;
  Answer.Body = encodeBody(*Result);
  co_return Answer;
}

void PeerAdapter::attach(InstanceCore &Core) {
  for (const char *Method : OneWayMethods)
    this->Node.onMessage(Method,
                         [&Core](const std::string &Peer, Message Received) {
                           const auto Body = decodeBody(Received.Body);
                           if (Body)
                             Core.onMessage(Peer, Received.Method, *Body);
                         });
  for (const char *Method : CallMethods)
    onCallCoroutine(this->Node, Method, [this, &Core](IncomingCall Call) {
      return this->answer(Core, std::move(Call));
    });
}

} // namespace rr
