#include "http1/HttpServer.h"

#include "base/Random.h"
#include "base/Timer.h"
#include "http1/ConnectionRefusal.h"
#include "http1/DescriptorReserve.h"
#include "http1/HttpSession.h"
#include "http1/SessionContext.h"
#include "http1/SocketState.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <charconv>
#include <map>
#include <set>

namespace rr {

namespace {

using asio::ip::tcp;

/// After an error of the listening socket that is not due to a caller.
constexpr Clock::duration AcceptRetryDelay = std::chrono::milliseconds(20);
/// Connections accepted before other handlers run; takes about 1 ms.
constexpr int AcceptBatch = 64;
/// A connection that has been idle for less may be about to carry a request:
/// longer than a round trip between regions.
constexpr Clock::duration MinIdleTime = std::chrono::milliseconds(250);
/// Bounds the time for one new connection. More than a few idle connections
/// with unread input are rare.
constexpr int MaxExaminedIdle = 8;
/// Retry-After of refusals: about the processing time of one request, with
/// jitter so that callers refused together do not return together.
constexpr Clock::duration MinRetryAfter = std::chrono::milliseconds(150);
constexpr Clock::duration RetryAfterJitter = std::chrono::milliseconds(500);

auto redirectError(asio::error_code &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(asio::io_context &Io, Handler Function)
      : Context(Io), Shared(std::make_shared<SessionContext>()), Acceptor(Io) {
    this->Shared->RequestHandler = std::move(Function);
  }

  asio::io_context &Context;
  std::shared_ptr<SessionContext> Shared;
  tcp::acceptor Acceptor;
  /// Open connections and what they take from the budget.
  std::map<std::shared_ptr<HttpSession>, ConnectionBudget::SlotPtr> Sessions;
  std::set<std::shared_ptr<ConnectionRefusal>> Refusals;
  DescriptorReserve Reserve;
  std::shared_ptr<ConnectionBudget> Budget;
  ConnectionUse Use = ConnectionUse::Callers;
  std::function<bool()> MakeRoom;
  CallerCounters Counters;
  RandomEngine Random{randomSeed()};

  asio::awaitable<void> serve(std::shared_ptr<HttpSession> Session) {
    const auto Self = this->shared_from_this();
    co_await Session->run();
    this->Sessions.erase(Session);
  }

  asio::awaitable<void> refuse(std::shared_ptr<ConnectionRefusal> Refusal) {
    const auto Self = this->shared_from_this();
    const double Jitter = std::uniform_real_distribution<>()(this->Random);
    const bool Answered = co_await Refusal->run(
        this->Shared->Limits.RefusalTimeout,
        MinRetryAfter + Clock::duration(Clock::rep(
                            double(RetryAfterJitter.count()) * Jitter)));
    ++(Answered ? this->Counters.Refused : this->Counters.Unanswered);
    this->Refusals.erase(Refusal);
  }

  /// Closes an idle connection. Returns false if there is none.
  bool closeLongestIdle() {
    int Examined = 0;
    for (HttpSession *Item : this->Shared->Idle) {
      if (++Examined > MaxExaminedIdle)
        break;
      const auto Session = Item->shared_from_this();
      if (!Session->closeToMakeRoom(MinIdleTime))
        continue;
      this->Sessions.erase(Session);
      ++this->Counters.ClosedIdle;
      return true;
    }
    return false;
  }

  /// Tries to take room for one connection. \p Slot stays null without a
  /// budget.
  bool tryTakeRoom(ConnectionBudget::SlotPtr &Slot) {
    if (this->Sessions.size() >= this->Shared->Limits.MaxConnections)
      return false;
    if (this->Budget)
      Slot = this->Budget->tryTake(this->Use);
    return !this->Budget || Slot;
  }

  void open(tcp::socket Socket) {
    asio::error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    ConnectionBudget::SlotPtr Slot;
    if (this->tryTakeRoom(Slot) ||
        (this->closeLongestIdle() && this->tryTakeRoom(Slot)) ||
        (this->MakeRoom && this->MakeRoom() && this->tryTakeRoom(Slot))) {
      auto Session = std::make_shared<HttpSession>(std::move(Socket),
                                                   this->Context, this->Shared);
      this->Sessions.emplace(Session, std::move(Slot));
      asio::co_spawn(this->Context, this->serve(Session), asio::detached);
    } else if (this->Refusals.size() < this->Shared->Limits.MaxRefusals) {
      auto Refusal =
          std::make_shared<ConnectionRefusal>(std::move(Socket), this->Context);
      this->Refusals.insert(Refusal);
      asio::co_spawn(this->Context, this->refuse(Refusal), asio::detached);
    } else {
      ++this->Counters.Dropped;
    }
  }

  enum class AcceptResult { Accepted, NonePending, NoDescriptor, Failed };

  AcceptResult acceptOne() {
    asio::error_code Error;
    tcp::socket Socket(this->Context);
    this->Acceptor.accept(Socket, Error);
    if (!Error) {
      this->open(std::move(Socket));
      return AcceptResult::Accepted;
    }
    if (Error == asio::error::would_block || Error == asio::error::try_again)
      return AcceptResult::NonePending;
    // The caller left while it was waiting.
    if (Error == asio::error::connection_aborted ||
        Error == asio::error::interrupted)
      return AcceptResult::Accepted;
    if (Error != asio::error::no_descriptors &&
        Error != std::errc::too_many_files_open_in_system)
      return AcceptResult::Failed;
    // The error does not say whether a connection is pending.
    if (!isReadable(this->Acceptor.native_handle()))
      return AcceptResult::NonePending;
    if (this->closeLongestIdle())
      return AcceptResult::Accepted;
    if (!this->Reserve.dropPending(this->Acceptor.native_handle()))
      return AcceptResult::NoDescriptor;
    ++this->Counters.Dropped;
    return AcceptResult::Accepted;
  }

  asio::awaitable<void> accept() {
    const auto Self = this->shared_from_this();
    while (this->Acceptor.is_open()) {
      asio::error_code Error;
      co_await this->Acceptor.async_wait(tcp::acceptor::wait_read,
                                         redirectError(Error));
      if (Error == asio::error::operation_aborted ||
          Error == asio::error::bad_descriptor)
        co_return;
      AcceptResult Result = AcceptResult::Accepted;
      for (int Count = 1; Result == AcceptResult::Accepted; ++Count) {
        // Requests of open connections go on meanwhile.
        if (Count % AcceptBatch == 0)
          co_await asio::post(this->Context, asio::use_awaitable);
        if (!this->Acceptor.is_open())
          co_return;
        Result = this->acceptOne();
      }
      if (Result != AcceptResult::NonePending)
        co_await sleepFor(AcceptRetryDelay);
    }
  }
};

HttpServer::HttpServer(asio::io_context &Context, Handler RequestHandler)
    : Core(std::make_shared<State>(Context, std::move(RequestHandler))) {}

HttpServer::~HttpServer() {
  this->stopAccepting();
  for (const auto &Item : this->Core->Sessions)
    Item.first->close();
  for (const auto &Refusal : this->Core->Refusals)
    Refusal->close();
}

Outcome<void> HttpServer::listen(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  asio::error_code Error;
  unsigned Port = 0;
  if (Colon == std::string::npos)
    return failure(Errc::Malformed);
  const auto Ip = asio::ip::make_address(Address.substr(0, Colon), Error);
  const char *const End = Address.data() + Address.size();
  const auto Read = std::from_chars(Address.data() + Colon + 1, End, Port);
  if (Error || Read.ec != std::errc() || Read.ptr != End || Port > 65535)
    return failure(Errc::Malformed);
  auto &Acceptor = this->Core->Acceptor;
  const tcp::endpoint Endpoint(Ip, static_cast<std::uint16_t>(Port));
  Acceptor.open(Endpoint.protocol(), Error);
  if (!Error)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(Endpoint, Error);
  if (!Error)
    Acceptor.listen(tcp::acceptor::max_listen_connections, Error);
  if (!Error)
    Acceptor.non_blocking(true, Error);
  if (Error)
    return failure(Errc::Unavailable);
  asio::co_spawn(this->Core->Context, this->Core->accept(), asio::detached);
  return {};
}

std::uint16_t HttpServer::port() const {
  asio::error_code Ignored;
  return this->Core->Acceptor.local_endpoint(Ignored).port();
}

void HttpServer::setLimits(const HttpServerLimits &Limits) {
  this->Core->Shared->Limits = Limits;
}

void HttpServer::setBudget(std::shared_ptr<ConnectionBudget> Budget,
                           ConnectionUse Use) {
  this->Core->Budget = std::move(Budget);
  this->Core->Use = Use;
}

void HttpServer::setRoomMaker(std::function<bool()> Function) {
  this->Core->MakeRoom = std::move(Function);
}

bool HttpServer::closeLongestIdle() { return this->Core->closeLongestIdle(); }

void HttpServer::setPipelineFilter(Predicate Allowed) {
  this->Core->Shared->MayPipeline = std::move(Allowed);
}

void HttpServer::setUploadFilter(
    std::function<std::optional<HttpMessage>(const HttpMessage &)> Refuse) {
  this->Core->Shared->RefuseUpload = std::move(Refuse);
}

void HttpServer::checkUploads() {
  for (const auto &Item : this->Core->Sessions)
    Item.first->checkUpload();
}

void HttpServer::refuseReads(const HttpMessage &Refusal) {
  for (const auto &Item : this->Core->Sessions)
    Item.first->refuseRead(Refusal);
}

void HttpServer::closeAfterResponses() {
  this->Core->Shared->CloseAfterResponses = true;
}

void HttpServer::stopAccepting() {
  asio::error_code Ignored;
  this->Core->Acceptor.close(Ignored);
}

void HttpServer::closeIdle() {
  for (const auto &Item : this->Core->Sessions)
    Item.first->closeIfIdle();
}

std::size_t HttpServer::connections() const {
  return this->Core->Sessions.size();
}

const CallerCounters &HttpServer::counters() const {
  return this->Core->Counters;
}

std::size_t HttpServer::activeRequests() const {
  return this->Core->Shared->Active;
}

} // namespace rr
