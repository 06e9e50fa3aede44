#include "http1/HttpConnection.h"

#include "base/Errc.h"
#include "base/Timer.h"
#include "http1/MessageParser.h"
#include "http1/MessageSerializer.h"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace rr {

namespace {

using asio::ip::tcp;

constexpr std::size_t ReadBufferBytes = 4096;
/// Assumed when the server does not announce its idle timeout.
constexpr Clock::duration DefaultIdleTimeout = std::chrono::seconds(4);
/// Longer announced idle timeouts count as this; larger numbers overflow.
constexpr long MaxIdleSeconds = 3600;
/// Responses to other requests that are skipped before the connection is
/// considered broken.
constexpr int MaxSkippedResponses = 3;
/// Interim responses (1xx) that are read for one request. A server that reports
/// its progress every second stays below this for longer than requests run.
constexpr int MaxInterimResponses = 100;

auto redirectError(asio::error_code &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

std::error_code errorOf(const MessageParser &Parser) {
  switch (Parser.error()) {
  case ParseError::None:
    return make_error_code(Errc::ConnectionLost);
  case ParseError::BodyBudgetExhausted:
    return make_error_code(Errc::LimitReached);
  default:
    return make_error_code(Errc::Malformed);
  }
}

/// Idle timeout that the server announces, less a fifth for network latency and
/// timer differences.
Clock::duration idleTimeoutOf(const HttpMessage &Response) {
  const std::string *Field = findHeader(Response.Headers, "Keep-Alive");
  if (!Field)
    return DefaultIdleTimeout;
  const std::size_t At = Field->find("timeout=");
  if (At == std::string::npos)
    return DefaultIdleTimeout;
  long Seconds = 0;
  std::from_chars(Field->data() + At + 8, Field->data() + Field->size(),
                  Seconds);
  return std::chrono::milliseconds(std::clamp(Seconds, 0L, MaxIdleSeconds) *
                                   800);
}

} // namespace

HttpConnection::HttpConnection(asio::io_context &Io,
                               ConnectionBudget::SlotPtr Taken)
    : Context(Io), Slot(std::move(Taken)), Socket(Io) {}

void HttpConnection::close() {
  asio::error_code Ignored;
  this->Socket.close(Ignored);
  // Handlers that were cancelled may keep the object for longer.
  this->Slot.reset();
}

asio::awaitable<std::error_code>
HttpConnection::connect(tcp::endpoint Server, Clock::time_point Deadline) {
  const auto Self = this->shared_from_this();
  const auto TimedOut = std::make_shared<bool>(false);
  Timer DeadlineTimer(this->Context, Deadline);
  DeadlineTimer.async_wait([Self, TimedOut](const asio::error_code &Error) {
    if (Error || Self->Connected)
      return;
    *TimedOut = true;
    Self->close();
  });
  asio::error_code Error;
  co_await this->Socket.async_connect(Server, redirectError(Error));
  if (*TimedOut)
    co_return make_error_code(Errc::Timeout);
  this->Connected = !Error;
  DeadlineTimer.cancel();
  if (Error)
    co_return make_error_code(Error == asio::error::connection_refused
                                  ? Errc::ConnectionRefused
                                  : Errc::ConnectionLost);
  this->Socket.set_option(tcp::no_delay(true), Error);
  if (this->MaxUnacknowledged) {
    const int Time =
        int(*this->MaxUnacknowledged / std::chrono::milliseconds(1));
    this->Socket.set_option(tcp::socket::linger(true, 0), Error);
    if (!Error && ::setsockopt(this->Socket.native_handle(), IPPROTO_TCP,
                               TCP_USER_TIMEOUT, &Time, sizeof Time) != 0)
      Error = asio::error::invalid_argument;
    if (Error)
      co_return make_error_code(Errc::ConnectionLost);
  }
  co_return std::error_code();
}

bool HttpConnection::isReusable() {
  if (!this->Socket.is_open() || !this->KeepAlive || !this->Unread.empty() ||
      Clock::now() >= this->IdleUntil)
    return false;
  // Unexpected data or an end of stream makes an idle connection unusable.
  asio::error_code Error;
  char Byte = 0;
  this->Socket.non_blocking(true, Error);
  this->Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek,
                       Error);
  return Error == asio::error::would_block;
}

asio::awaitable<ExchangeResult>
HttpConnection::exchange(const HttpMessage &Request, Clock::time_point Deadline,
                         CancellationPtr Cancel, ResponseFilter Accepts,
                         ParserLimits Limits) {
  const auto Self = this->shared_from_this();
  struct ExchangeState {
    bool TimedOut = false;
    bool Cancelled = false;
    bool Finished = false;
  };
  const auto State = std::make_shared<ExchangeState>();
  Timer DeadlineTimer(this->Context, Deadline);
  DeadlineTimer.async_wait([Self, State](const asio::error_code &Error) {
    if (Error || State->Finished)
      return;
    State->TimedOut = true;
    Self->close();
  });
  if (Cancel)
    Cancel->onCancel([Self, State] {
      if (State->Finished)
        return;
      State->Cancelled = true;
      Self->close();
    });

  ExchangeResult Result;
  asio::error_code Error;
  asio::error_code WriteError;
  bool Received = false;
  int Skipped = 0;
  int Interim = 0;
  if (!State->Cancelled) {
    Result.MayHaveBeenSent = true;
    const std::string Header = serializeRequestHeader(Request);
    const std::array<asio::const_buffer, 2> Parts = {
        asio::buffer(Header), asio::buffer(Request.Body)};
    co_await asio::async_write(this->Socket, Parts, redirectError(WriteError));
  }
  // A server may respond before it has read the whole request, so a failed
  // write does not abort the exchange. Linux reports a reset only once, though:
  // after the write has reported it, reads see a regular end of the stream,
  // which must not end a response without a length.
  std::array<char, ReadBufferBytes> Buffer;
  while (!Received && !State->Cancelled && !State->TimedOut) {
    MessageParser Parser(MessageParser::Kind::Response, Limits);
    if (Request.Method == "HEAD")
      Parser.expectNoBody();
    Error = {};
    while (!Error && !Parser.isComplete() &&
           Parser.error() == ParseError::None) {
      if (!this->Unread.empty()) {
        this->Unread.erase(0, Parser.feed(this->Unread));
        continue;
      }
      const std::size_t Length = co_await this->Socket.async_read_some(
          asio::buffer(Buffer), redirectError(Error));
      if (Error == asio::error::eof && !WriteError)
        Parser.finish();
      this->Unread.append(Buffer.data(), Length);
    }
    if (!Parser.isComplete()) {
      Result.Error =
          Error ? make_error_code(Errc::ConnectionLost) : errorOf(Parser);
      Result.Fault = Error ? MessageFault::None : Parser.fault();
      break;
    }
    HttpMessage Response = Parser.take();
    const bool ConnectionEnds =
        Error == asio::error::eof || WriteError || !Response.KeepAlive;
    if (Response.Status >= 100 && Response.Status < 200) {
      if (++Interim <= MaxInterimResponses)
        continue;
      Result.Error = make_error_code(Errc::Malformed);
      Result.Fault = MessageFault::InterimResponses;
      break;
    }
    if (Accepts && !Accepts(Response)) {
      if (!ConnectionEnds && ++Skipped <= MaxSkippedResponses)
        continue;
      Result.Error = make_error_code(Errc::Malformed);
      Result.Fault = MessageFault::OtherRequest;
      break;
    }
    this->KeepAlive = !ConnectionEnds && Skipped == 0;
    this->IdleUntil = Clock::now() + idleTimeoutOf(Response);
    Result.Response = std::move(Response);
    Received = true;
  }
  State->Finished = true;
  DeadlineTimer.cancel();
  if (!Received && State->TimedOut)
    Result.Error = make_error_code(Errc::Timeout);
  else if (!Received && State->Cancelled)
    Result.Error = make_error_code(Errc::Cancelled);
  if (!Received || !this->KeepAlive || !this->Unread.empty())
    this->close();
  co_return Result;
}

} // namespace rr
