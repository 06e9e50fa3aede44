#include "http1/HttpSession.h"

#include "http1/MessageParser.h"
#include "http1/MessageSerializer.h"
#include "http1/SocketState.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <array>

namespace rr {

namespace {

using asio::ip::tcp;

constexpr std::size_t ReadBufferBytes = 2048;
/// Reading pauses while this many bytes are unparsed, so that TCP flow control
/// slows down the client.
constexpr std::size_t MaxUnreadBytes = 64U << 10;
/// After the last response the connection is read for this long, because
/// closing a socket with unread input resets the connection and the client may
/// lose the response.
constexpr Clock::duration LingerTimeout = std::chrono::milliseconds(500);

auto redirectError(asio::error_code &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

int statusForError(ParseError Error) {
  switch (Error) {
  case ParseError::HeaderTooLarge:
    return 431;
  case ParseError::BodyTooLarge:
    return 413;
  case ParseError::BodyBudgetExhausted:
    return 503;
  default:
    return 400;
  }
}

} // namespace

HttpSession::HttpSession(tcp::socket Opened, asio::io_context &Io,
                         std::shared_ptr<SessionContext> Shared)
    : Socket(std::move(Opened)), Context(Io), Shared(std::move(Shared)),
      ReadTimer(Io), WriteTimer(Io),
      ChangeSignal(Io, Clock::time_point::max()) {}

HttpSession::~HttpSession() { this->setIdle(false); }

void HttpSession::notifyChange() {
  this->updateActivity();
  this->ChangeSignal.cancel();
}

asio::awaitable<void> HttpSession::waitForChange() {
  asio::error_code Ignored;
  co_await this->ChangeSignal.async_wait(redirectError(Ignored));
}

std::size_t HttpSession::pendingResponseBytes() const {
  std::size_t Sum = 0;
  for (const ExchangePtr &Item : this->Exchanges)
    Sum += Item->Done ? Item->Reply.Body.size() : 0;
  return Sum;
}

bool HttpSession::reserveUnread() {
  // Input waits only behind a running request, whose end wakes the reader.
  if (this->Unread.empty()) {
    this->UnreadReservation.reset();
    return true;
  }
  if (this->Unread.size() >= MaxUnreadBytes)
    return false;
  const auto &Budget = this->Shared->Limits.Message.BodyBudget;
  if (!Budget)
    return true;
  if (!this->UnreadReservation)
    this->UnreadReservation = std::make_unique<ByteBudget::Reservation>(Budget);
  return this->UnreadReservation->tryResize(
      this->Unread.size() + ReadBufferBytes, Budget->headerReserve());
}

bool HttpSession::mayStart(const HttpMessage &Request) const {
  if (this->Exchanges.empty())
    return true;
  return this->Exchanges.size() < MaxPipelinedRequests &&
         this->pendingResponseBytes() < MaxPendingResponseBytes &&
         this->Shared->MayPipeline && this->Shared->MayPipeline(Request);
}

void HttpSession::processInput() {
  while (!this->Closing && !this->Disconnected) {
    if (this->DeferredRequest) {
      if (!this->mayStart(*this->DeferredRequest))
        break;
      HttpMessage Request = std::move(*this->DeferredRequest);
      this->DeferredRequest.reset();
      this->startExchange(std::move(Request));
      continue;
    }
    if (this->Unread.empty())
      break;
    if (!this->Parser)
      this->Parser = std::make_unique<MessageParser>(
          MessageParser::Kind::Request, this->Shared->Limits.Message);
    this->Unread.erase(0, this->Parser->feed(this->Unread));
    if (this->Parser->error() != ParseError::None)
      this->reject(statusForError(this->Parser->error()));
    else if (this->Parser->isComplete())
      this->takeParsedRequest();
    else {
      this->checkUpload();
      break;
    }
  }
  if (this->Unread.empty()) {
    if (this->Unread.capacity() > ReadBufferBytes)
      this->Unread.shrink_to_fit();
    this->UnreadReservation.reset();
  }
  this->updateActivity();
}

void HttpSession::takeParsedRequest() {
  this->DeferredRequest = std::exchange(this->Parser, nullptr)->take();
  // The request timeout starts anew with the next request.
  this->CurrentReadTimeout = ReadTimeout::None;
  this->ReadTimer.cancel();
}

void HttpSession::startExchange(HttpMessage Request) {
  const auto Item = std::make_shared<Exchange>();
  Item->WithBody = Request.Method != "HEAD";
  Item->KeepAlive = Request.KeepAlive;
  // Requests after one that closes the connection are discarded.
  this->Closing = this->Closing || !Request.KeepAlive;
  this->ContinueSent = false;
  this->Exchanges.push_back(Item);
  Item->Cancel->setProbe(
      [Weak = this->weak_from_this()]() -> std::optional<Clock::duration> {
        const auto Session = Weak.lock();
        return Session ? timeSincePeerLeft(Session->Socket)
                       : Clock::duration::zero();
      });
  asio::co_spawn(this->Context, this->execute(Item, std::move(Request)),
                 asio::detached);
}

asio::awaitable<void> HttpSession::execute(ExchangePtr Item,
                                           HttpMessage Request) {
  const auto Self = this->shared_from_this();
  try {
    Item->Reply =
        co_await this->Shared->RequestHandler(std::move(Request), Item->Cancel);
  } catch (const std::exception &) {
    // An error in one request must not affect other requests or terminate the
    // process.
    Item->Reply.Status = 500;
    Item->KeepAlive = false;
  }
  Item->Done = true;
  this->notifyChange();
}

void HttpSession::checkUpload() {
  if (this->Closing || this->Disconnected || !this->Parser ||
      !this->Parser->isHeaderComplete() || !this->Shared->RefuseUpload)
    return;
  if (auto Refusal = this->Shared->RefuseUpload(this->Parser->message()))
    this->reject(std::move(*Refusal));
}

void HttpSession::refuseRead(const HttpMessage &Refusal) {
  if (!this->Closing && !this->Disconnected && this->Parser &&
      this->Parser->hasStarted())
    this->reject(Refusal);
}

void HttpSession::reject(int Status) {
  HttpMessage Reply;
  Reply.Status = Status;
  this->reject(std::move(Reply));
}

void HttpSession::reject(HttpMessage Reply) {
  const auto Item = std::make_shared<Exchange>();
  Item->Reply = std::move(Reply);
  Item->KeepAlive = false;
  Item->Done = true;
  this->Closing = true;
  this->Parser.reset();
  this->Exchanges.push_back(Item);
  this->notifyChange();
}

void HttpSession::handleDisconnect() {
  this->Disconnected = true;
  this->DeferredRequest.reset();
  for (const ExchangePtr &Item : std::deque<ExchangePtr>(this->Exchanges)) {
    // The probe knows when the caller left.
    Item->Cancel->checkCancelled();
    Item->Cancel->cancel();
  }
  this->notifyChange();
}

void HttpSession::updateActivity() {
  const bool Reading = this->Parser && this->Parser->hasStarted();
  const bool IsActive =
      Reading || this->DeferredRequest || !this->Exchanges.empty();
  if (IsActive != this->Active)
    this->Shared->Active += IsActive ? 1 : -1;
  this->Active = IsActive;
  this->setIdle(!IsActive && !this->Closing && !this->Disconnected);
  ReadTimeout Now = ReadTimeout::None;
  if (!this->Closing && !this->Disconnected)
    Now = Reading    ? ReadTimeout::Request
          : IsActive ? ReadTimeout::None
                     : ReadTimeout::Idle;
  if (Now == this->CurrentReadTimeout)
    return;
  this->CurrentReadTimeout = Now;
  this->ReadTimer.cancel();
  if (Now == ReadTimeout::None)
    return;
  const HttpServerLimits &Limits = this->Shared->Limits;
  this->ReadTimer.expires_after(
      Now == ReadTimeout::Idle ? Limits.IdleTimeout : Limits.RequestTimeout);
  this->ReadTimer.async_wait(
      [Self = this->shared_from_this()](const asio::error_code &Error) {
        if (!Error)
          Self->onReadTimeout();
      });
}

void HttpSession::setIdle(bool Now) {
  if (Now == this->IdlePosition.has_value())
    return;
  std::list<HttpSession *> &Idle = this->Shared->Idle;
  if (Now) {
    this->IdlePosition = Idle.insert(Idle.end(), this);
    this->IdleSince = Clock::now();
  } else {
    Idle.erase(*this->IdlePosition);
    this->IdlePosition.reset();
  }
}

void HttpSession::onReadTimeout() {
  if (this->Closing || this->Disconnected)
    return;
  if (this->Parser && this->Parser->hasStarted()) {
    this->reject(408);
    return;
  }
  this->Closing = true;
  this->notifyChange();
}

asio::awaitable<void> HttpSession::receiveLoop() {
  const auto Self = this->shared_from_this();
  std::array<char, ReadBufferBytes> Buffer;
  for (;;) {
    if (!this->Closing && !this->reserveUnread()) {
      co_await this->waitForChange();
      continue;
    }
    asio::error_code Error;
    const std::size_t Length = co_await this->Socket.async_read_some(
        asio::buffer(Buffer), redirectError(Error));
    if (Error)
      break;
    // Input after the last request is discarded.
    if (this->Closing)
      continue;
    this->Unread.append(Buffer.data(), Length);
    this->processInput();
    this->ChangeSignal.cancel();
  }
  this->ReceiveFinished = true;
  this->handleDisconnect();
}

asio::awaitable<bool> HttpSession::write(const std::string &Text) {
  asio::error_code Error;
  this->Writing = true;
  this->WriteTimer.expires_after(this->Shared->Limits.WriteTimeout);
  this->WriteTimer.async_wait(
      [Self = this->shared_from_this()](const asio::error_code &Stopped) {
        if (!Stopped && Self->Writing)
          Self->close();
      });
  co_await asio::async_write(this->Socket, asio::buffer(Text),
                             redirectError(Error));
  this->Writing = false;
  this->WriteTimer.cancel();
  co_return !Error;
}

asio::awaitable<bool> HttpSession::writeNextResponse() {
  const ExchangePtr Item = this->Exchanges.front();
  if (this->Shared->CloseAfterResponses || !Item->KeepAlive ||
      !Item->Reply.KeepAlive)
    this->Closing = true;
  // Requests that are already running are still answered on this connection.
  const bool Last = this->Closing && this->Exchanges.size() == 1;
  const bool Written = co_await this->write(
      serializeResponse(Item->Reply, Last, Item->WithBody));
  this->Exchanges.pop_front();
  if (Written && Last)
    co_await this->linger();
  co_return Written && !Last;
}

asio::awaitable<void> HttpSession::linger() {
  asio::error_code Ignored;
  this->Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  const auto Over = std::make_shared<bool>(false);
  this->WriteTimer.expires_after(LingerTimeout);
  this->WriteTimer.async_wait(
      [Self = this->shared_from_this(), Over](const asio::error_code &Error) {
        *Over = !Error;
        Self->ChangeSignal.cancel();
      });
  while (!this->ReceiveFinished && !*Over)
    co_await this->waitForChange();
  this->WriteTimer.cancel();
}

asio::awaitable<void> HttpSession::sendLoop() {
  static const std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";
  for (;;) {
    if (!this->Exchanges.empty() && this->Exchanges.front()->Done) {
      if (this->Disconnected) {
        this->Exchanges.pop_front();
        continue;
      }
      if (!co_await this->writeNextResponse())
        co_return;
      this->processInput();
      continue;
    }
    if (this->Exchanges.empty() && (this->Disconnected || this->Closing))
      co_return;
    if (this->Exchanges.empty() && this->Parser && !this->ContinueSent &&
        this->Parser->isHeaderComplete() && this->Parser->wantsContinue()) {
      this->ContinueSent = true;
      if (!co_await this->write(Continue))
        co_return;
      continue;
    }
    co_await this->waitForChange();
  }
}

asio::awaitable<void> HttpSession::run() {
  const auto Self = this->shared_from_this();
  this->updateActivity();
  asio::co_spawn(this->Context, this->receiveLoop(), asio::detached);
  co_await this->sendLoop();
  this->close();
  // Wait for the remaining requests; their responses are discarded.
  while (!this->ReceiveFinished)
    co_await this->waitForChange();
  while (!this->Exchanges.empty()) {
    if (this->Exchanges.front()->Done)
      this->Exchanges.pop_front();
    else
      co_await this->waitForChange();
  }
  this->Parser.reset();
  this->DeferredRequest.reset();
  this->updateActivity();
}

void HttpSession::closeIfIdle() {
  if (this->Active)
    return;
  this->Closing = true;
  this->notifyChange();
}

bool HttpSession::closeToMakeRoom(Clock::duration MinIdle) {
  if (!this->IdlePosition || Clock::now() - this->IdleSince < MinIdle ||
      hasUnreadInput(this->Socket))
    return false;
  // Input that was read but not processed yet is discarded.
  this->Closing = true;
  this->close();
  this->notifyChange();
  return true;
}

void HttpSession::close() {
  asio::error_code Ignored;
  this->ReadTimer.cancel();
  this->Socket.shutdown(tcp::socket::shutdown_both, Ignored);
  this->Socket.close(Ignored);
}

} // namespace rr
