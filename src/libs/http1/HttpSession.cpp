#include "http1/HttpSession.h"

#include "http1/MessageParser.h"
#include "http1/MessageText.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <array>

namespace rr {

namespace {

using asio::ip::tcp;

constexpr std::size_t ReadBytes = 2048;
/// A client that sends more than this ahead waits in its socket.
constexpr std::size_t MostUnreadBytes = 64U << 10;
/// A connection that this side ends is read for this long, so that the close
/// does not reset it before the client has read the last answer.
constexpr Clock::duration LingerTime = std::chrono::milliseconds(500);

auto into(asio::error_code &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

int statusOf(ParseError Error) {
  switch (Error) {
  case ParseError::HeaderTooLarge:
    return 431;
  case ParseError::BodyTooLarge:
    return 413;
  case ParseError::NoRoom:
    return 503;
  default:
    return 400;
  }
}

} // namespace

HttpSession::HttpSession(tcp::socket Opened, asio::io_context &Io,
                         std::shared_ptr<SessionRules> Shared)
    : Socket(std::move(Opened)), Context(Io), Rules(std::move(Shared)),
      ReadLimit(Io), WriteLimit(Io), Changed(Io, Clock::time_point::max()) {}

HttpSession::~HttpSession() = default;

void HttpSession::noteChange() {
  this->review();
  this->Changed.cancel();
}

asio::awaitable<void> HttpSession::waitForChange() {
  asio::error_code Ignored;
  co_await this->Changed.async_wait(into(Ignored));
}

std::size_t HttpSession::waitingBytes() const {
  std::size_t Sum = 0;
  for (const ExchangePtr &Item : this->Open)
    Sum += Item->Done ? Item->Reply.Body.size() : 0;
  return Sum;
}

bool HttpSession::mayStart(const HttpMessage &Request) const {
  if (this->Open.empty())
    return true;
  return this->Open.size() < MostOpen &&
         this->waitingBytes() < MostWaitingBytes && this->Rules->RunsAhead &&
         this->Rules->RunsAhead(Request);
}

void HttpSession::advance() {
  while (!this->Closing && !this->Ended) {
    if (this->Held) {
      if (!this->mayStart(*this->Held))
        break;
      HttpMessage Request = std::move(*this->Held);
      this->Held.reset();
      this->start(std::move(Request));
      continue;
    }
    if (this->Unread.empty())
      break;
    if (!this->Parser)
      this->Parser = std::make_unique<MessageParser>(
          MessageParser::Kind::Request, this->Rules->Limits.Message);
    this->Unread.erase(0, this->Parser->feed(this->Unread));
    if (this->Parser->error() != ParseError::None)
      this->reject(statusOf(this->Parser->error()));
    else if (this->Parser->isComplete())
      this->hold();
    else
      break;
  }
  this->review();
}

void HttpSession::hold() {
  this->Held = std::exchange(this->Parser, nullptr)->take();
  // The next request has its own time.
  this->Waiting = Wait::None;
  this->ReadLimit.cancel();
}

void HttpSession::start(HttpMessage Request) {
  const auto Item = std::make_shared<Exchange>();
  Item->WithBody = Request.Method != "HEAD";
  Item->KeepAlive = Request.KeepAlive;
  // Nothing behind it will be answered.
  this->Closing = this->Closing || !Request.KeepAlive;
  this->Continued = false;
  this->Open.push_back(Item);
  asio::co_spawn(this->Context, this->execute(Item, std::move(Request)),
                 asio::detached);
}

asio::awaitable<void> HttpSession::execute(ExchangePtr Item,
                                           HttpMessage Request) {
  const auto Self = this->shared_from_this();
  try {
    Item->Reply =
        co_await this->Rules->Answer(std::move(Request), Item->Cancel);
  } catch (const std::exception &) {
    // The others of the connection and the process go on.
    Item->Reply.Status = 500;
    Item->KeepAlive = false;
  }
  Item->Done = true;
  this->noteChange();
}

void HttpSession::reject(int Status) {
  const auto Item = std::make_shared<Exchange>();
  Item->Reply.Status = Status;
  Item->KeepAlive = false;
  Item->Done = true;
  this->Closing = true;
  this->Parser.reset();
  this->Open.push_back(Item);
  this->noteChange();
}

void HttpSession::noteClientGone() {
  this->Ended = true;
  this->Held.reset();
  for (const ExchangePtr &Item : std::deque<ExchangePtr>(this->Open))
    Item->Cancel->cancel();
  this->noteChange();
}

void HttpSession::review() {
  const bool Reading = this->Parser && this->Parser->hasStarted();
  const bool IsActive = Reading || this->Held || !this->Open.empty();
  if (IsActive != this->Active)
    this->Rules->Active += IsActive ? 1 : -1;
  this->Active = IsActive;
  Wait Now = Wait::None;
  if (!this->Closing && !this->Ended)
    Now = Reading ? Wait::Request : IsActive ? Wait::None : Wait::Idle;
  if (Now == this->Waiting)
    return;
  this->Waiting = Now;
  this->ReadLimit.cancel();
  if (Now == Wait::None)
    return;
  const ServerLimits &Limits = this->Rules->Limits;
  this->ReadLimit.expires_after(Now == Wait::Idle ? Limits.IdleTime
                                                  : Limits.RequestTime);
  this->ReadLimit.async_wait(
      [Self = this->shared_from_this()](const asio::error_code &Error) {
        if (!Error)
          Self->onReadLimit();
      });
}

void HttpSession::onReadLimit() {
  if (this->Closing || this->Ended)
    return;
  if (this->Parser && this->Parser->hasStarted()) {
    this->reject(408);
    return;
  }
  this->Closing = true;
  this->noteChange();
}

asio::awaitable<void> HttpSession::receive() {
  const auto Self = this->shared_from_this();
  std::array<char, ReadBytes> Buffer;
  for (;;) {
    if (!this->Closing && this->Unread.size() >= MostUnreadBytes) {
      co_await this->waitForChange();
      continue;
    }
    asio::error_code Error;
    const std::size_t Length = co_await this->Socket.async_read_some(
        asio::buffer(Buffer), into(Error));
    if (Error)
      break;
    // Behind the last request nothing is read for its own sake.
    if (this->Closing)
      continue;
    this->Unread.append(Buffer.data(), Length);
    this->advance();
    this->Changed.cancel();
  }
  this->Received = true;
  this->noteClientGone();
}

asio::awaitable<bool> HttpSession::write(const std::string &Text) {
  asio::error_code Error;
  this->Writing = true;
  this->WriteLimit.expires_after(this->Rules->Limits.WriteTime);
  this->WriteLimit.async_wait(
      [Self = this->shared_from_this()](const asio::error_code &Stopped) {
        if (!Stopped && Self->Writing)
          Self->close();
      });
  co_await asio::async_write(this->Socket, asio::buffer(Text), into(Error));
  this->Writing = false;
  this->WriteLimit.cancel();
  co_return !Error;
}

asio::awaitable<bool> HttpSession::writeFront() {
  const ExchangePtr Item = this->Open.front();
  if (this->Rules->CloseAfterAnswers || !Item->KeepAlive ||
      !Item->Reply.KeepAlive)
    this->Closing = true;
  // Requests that run already are answered on this connection.
  const bool Last = this->Closing && this->Open.size() == 1;
  const bool Written =
      co_await this->write(answerText(Item->Reply, Last, Item->WithBody));
  this->Open.pop_front();
  if (Written && Last)
    co_await this->linger();
  co_return Written && !Last;
}

asio::awaitable<void> HttpSession::linger() {
  asio::error_code Ignored;
  this->Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  const auto Over = std::make_shared<bool>(false);
  this->WriteLimit.expires_after(LingerTime);
  this->WriteLimit.async_wait(
      [Self = this->shared_from_this(), Over](const asio::error_code &Error) {
        *Over = !Error;
        Self->Changed.cancel();
      });
  while (!this->Received && !*Over)
    co_await this->waitForChange();
  this->WriteLimit.cancel();
}

asio::awaitable<void> HttpSession::respond() {
  static const std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";
  for (;;) {
    if (!this->Open.empty() && this->Open.front()->Done) {
      if (this->Ended) {
        this->Open.pop_front();
        continue;
      }
      if (!co_await this->writeFront())
        co_return;
      this->advance();
      continue;
    }
    if (this->Open.empty() && (this->Ended || this->Closing))
      co_return;
    if (this->Open.empty() && this->Parser && !this->Continued &&
        this->Parser->isHeaderComplete() && this->Parser->wantsContinue()) {
      this->Continued = true;
      if (!co_await this->write(Continue))
        co_return;
      continue;
    }
    co_await this->waitForChange();
  }
}

asio::awaitable<void> HttpSession::run() {
  const auto Self = this->shared_from_this();
  this->review();
  asio::co_spawn(this->Context, this->receive(), asio::detached);
  co_await this->respond();
  this->close();
  // What still runs has nobody to answer.
  while (!this->Received)
    co_await this->waitForChange();
  while (!this->Open.empty()) {
    if (this->Open.front()->Done)
      this->Open.pop_front();
    else
      co_await this->waitForChange();
  }
  this->Parser.reset();
  this->Held.reset();
  this->review();
}

void HttpSession::closeIfIdle() {
  if (this->Active)
    return;
  this->Closing = true;
  this->noteChange();
}

void HttpSession::close() {
  asio::error_code Ignored;
  this->ReadLimit.cancel();
  this->Socket.shutdown(tcp::socket::shutdown_both, Ignored);
  this->Socket.close(Ignored);
}

} // namespace rr
