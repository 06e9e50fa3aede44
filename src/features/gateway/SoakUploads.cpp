#include "gateway/SoakFleet.h"

#include "base/Timer.h"
#include "http1/MessageParser.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

namespace rr {

const std::string SoakFleet::SlowPath = "/order/slow";

namespace {

using asio::ip::tcp;

/// The rate of the workspace is exceeded, so that most of them are refused.
constexpr int UploadsPerStop = 12;
/// Time limit of the routes, within which an order may not be broken off.
constexpr Clock::duration RouteTimeout = std::chrono::seconds(2);
/// Path of the upload that gets an early answer.
const std::string EarlyPath = "/open/early";
constexpr int EarlyUploads = 6;
/// From the early answer until its server is killed.
constexpr Clock::duration TimeToDie = std::chrono::milliseconds(50);
/// A server that got no such upload is killed after this time.
constexpr Clock::duration MaxDyingTime = std::chrono::milliseconds(1500);

auto redirectError(asio::error_code &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

tcp::endpoint endpointOf(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  return {asio::ip::make_address(Address.substr(0, Colon)),
          static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1)))};
}

} // namespace

std::string SoakFleet::addRequest(const Node &Entry, bool Unsafe,
                                  const std::string &Key) {
  const std::string Id = "r" + std::to_string(++this->LastId);
  Request &Item = this->Requests[Id];
  Item.SentAt = Clock::now();
  Item.Unsafe = Unsafe;
  Item.Entry = &Entry;
  Item.Key = Key;
  return Id;
}

bool SoakFleet::stopWithUploads(Node &Item) {
  if (!this->stopNode(Item))
    return false;
  this->logFault("slow uploads to " + Item.Name);
  const Clock::time_point Now = Clock::now();
  for (int Index = 0; Index < UploadsPerStop; ++Index) {
    const Clock::time_point First =
        Now + this->randomDuration(std::chrono::milliseconds(0),
                                   std::chrono::milliseconds(2600));
    // The last part of the stop, in which orders may not be done any more.
    const Clock::time_point Second =
        Now + this->randomDuration(std::chrono::milliseconds(4600),
                                   std::chrono::milliseconds(5900));
    const bool HalfClose = this->chance(0.25);
    const std::string Id = this->addRequest(
        Item, true, this->Keys.empty() ? "" : *this->Keys.begin());
    asio::co_spawn(this->SharedContext,
                   this->upload(Id, Item, First, Second, HalfClose),
                   asio::detached);
  }
  return true;
}

asio::awaitable<void> SoakFleet::upload(std::string Id, const Node &Entry,
                                        Clock::time_point First,
                                        Clock::time_point Second,
                                        bool HalfClose) {
  Request &Item = this->Requests.at(Id);
  co_await sleepFor(First - Clock::now());
  Item.SentAt = Clock::now();
  const int Kills = Entry.Kills - Entry.PlannedKills;
  tcp::socket Peer(this->SharedContext);
  asio::error_code Error;
  co_await Peer.async_connect(endpointOf(Entry.CallerAddress),
                              redirectError(Error));
  if (Error) {
    Item.Ended = true;
    co_return;
  }
  const std::string Head = "POST " + SlowPath +
                           " HTTP/1.1\r\nHost: h\r\nId: " + Id +
                           "\r\nKey: " + Item.Key +
                           "\r\nDeadline: 4000\r\nContent-Length: 6\r\n\r\n";
  co_await asio::async_write(Peer, asio::buffer(Head + "abc"),
                             redirectError(Error));
  co_await sleepFor(Second - Clock::now());
  const Clock::time_point LastByteAt = Clock::now();
  asio::error_code Ignored;
  if (HalfClose)
    Peer.shutdown(tcp::socket::shutdown_send, Ignored);
  else
    co_await asio::async_write(Peer, asio::buffer("def", 3),
                               redirectError(Ignored));
  std::string Answer;
  char Buffer[4096];
  for (Error = {}; !Error;)
    Answer.append(Buffer, co_await Peer.async_read_some(asio::buffer(Buffer),
                                                        redirectError(Error)));
  Item.Ended = true;
  MessageParser Parser(MessageParser::Kind::Response, {});
  Parser.feed(Answer);
  if (Parser.isComplete())
    Item.Status = Parser.message().Status;
  if (Entry.Kills - Entry.PlannedKills != Kills ||
      Entry.FrozenUntil > Item.SentAt)
    co_return;
  if (HalfClose && Item.Runs > 0)
    this->reportViolation("half of upload " + Id + " was passed on");
  if (HalfClose)
    co_return;
  if (Item.Status == 0)
    this->reportViolation("upload " + Id + " got no answer from " + Entry.Name);
  if (Item.Status == 504 && Item.Runs > 0 &&
      Clock::now() - LastByteAt < RouteTimeout)
    this->reportViolation("upload " + Id + " ran and was broken off by " +
                          Entry.Name);
}

/// A server that is killed in the middle of an answer.
struct SoakFleet::DyingServer {
  DyingServer(asio::io_context &Context, std::string Id)
      : Id(std::move(Id)),
        Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}) {}

  void kill() {
    asio::error_code Ignored;
    this->Acceptor.close(Ignored);
    for (const auto &Peer : this->Peers)
      Peer->close(Ignored);
  }

  std::string Id;
  tcp::acceptor Acceptor;
  std::vector<std::unique_ptr<tcp::socket>> Peers;
};

void SoakFleet::killServerInAnswer() {
  const auto Chosen =
      std::next(this->Servers.begin(),
                std::ptrdiff_t(this->pickIndex(this->Servers.size())));
  const std::string &Id = Chosen->first;
  Server &Item = Chosen->second;
  if (Item.EndsAt != Clock::time_point{} || Item.Crashed)
    return;
  this->logFault("server " + Id + " is killed in an answer");
  asio::post(this->SharedContext,
             [Ended = std::shared_ptr<HttpServer>(std::move(Item.Http))] {});
  const auto Dying = std::make_shared<DyingServer>(this->SharedContext, Id);
  Item.Address =
      "127.0.0.1:" + std::to_string(Dying->Acceptor.local_endpoint().port());
  Item.Crashed = true;
  Item.EndsAt = Clock::now() + std::chrono::seconds(4);
  this->putServer(Id);
  asio::co_spawn(this->SharedContext, this->acceptAndDie(Dying),
                 asio::detached);
  asio::co_spawn(
      this->SharedContext,
      [](std::shared_ptr<DyingServer> Dying) -> asio::awaitable<void> {
        co_await sleepFor(MaxDyingTime);
        Dying->kill();
      }(Dying),
      asio::detached);
  asio::co_spawn(
      this->SharedContext,
      [](SoakFleet &Fleet, std::string Zone) -> asio::awaitable<void> {
        for (int Index = 0; Index < EarlyUploads; ++Index) {
          co_await sleepFor(std::chrono::milliseconds(150));
          for (const auto &Entry : Fleet.Nodes) {
            if (Entry->Zone != Zone || !Entry->Instance)
              continue;
            const std::string Id = Fleet.addRequest(*Entry, false, "");
            Fleet.Requests.at(Id).LongBody = true;
            asio::co_spawn(Fleet.SharedContext,
                           Fleet.call(Id, EarlyPath, *Entry), asio::detached);
          }
        }
      }(*this, Item.Zone),
      asio::detached);
}

asio::awaitable<void>
SoakFleet::acceptAndDie(std::shared_ptr<DyingServer> Dying) {
  for (;;) {
    asio::error_code Error;
    tcp::socket Peer =
        co_await Dying->Acceptor.async_accept(redirectError(Error));
    if (Error)
      co_return;
    Dying->Peers.push_back(std::make_unique<tcp::socket>(std::move(Peer)));
    asio::co_spawn(this->SharedContext,
                   this->answerAndDie(Dying, Dying->Peers.size() - 1),
                   asio::detached);
  }
}

asio::awaitable<void>
SoakFleet::answerAndDie(std::shared_ptr<DyingServer> Dying, std::size_t Index) {
  tcp::socket &Peer = *Dying->Peers[Index];
  MessageParser Parser(MessageParser::Kind::Request, {});
  asio::error_code Error;
  char Buffer[4096];
  while (!Error && !Parser.isHeaderComplete()) {
    const std::size_t Length = co_await Peer.async_read_some(
        asio::buffer(Buffer), redirectError(Error));
    Parser.feed({Buffer, Length});
  }
  if (Error)
    co_return;
  const HttpMessage &Message = Parser.message();
  const std::string *Id = findHeader(Message.Headers, "Id");
  const std::string *Expected = findHeader(Message.Headers, "Expect-Server");
  const bool Early =
      Message.Target == EarlyPath && Expected && *Expected == Dying->Id;
  std::string Answer =
      Early ? "HTTP/1.1 200 OK\r\nStamp: s\r\nConnection: close\r\nId: "
            : "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nConnection: close\r\n"
              "Content-Length: 0\r\nId: ";
  Answer += (Id ? *Id : "") + "\r\n\r\n" + (Early ? "whole" : "");
  if (Early)
    this->checkRun(Dying->Id, Message);
  co_await asio::async_write(Peer, asio::buffer(Answer), redirectError(Error));
  if (!Early) {
    Peer.close(Error);
    co_return;
  }
  co_await sleepFor(TimeToDie);
  Dying->kill();
}

} // namespace rr
