#include "http1/HttpLink.h"

#include "base/Errc.h"
#include "base/Timer.h"
#include "http1/MessageParser.h"
#include "http1/MessageText.h"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <array>
#include <charconv>

namespace rr {

namespace {

using asio::ip::tcp;

constexpr std::size_t ReadBytes = 4096;
/// Assumed when the server does not name its idle time-out.
constexpr Clock::duration DefaultIdleTime = std::chrono::seconds(4);
/// Answers that belong to other requests and are skipped before the
/// connection counts as broken.
constexpr int MostSkippedAnswers = 3;

auto into(asio::error_code &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

/// Time that the server announces for idle connections, less a tenth for the
/// way there and timers that differ.
Clock::duration idleTimeOf(const HttpMessage &Answer) {
  const std::string *Field = findHeader(Answer.Headers, "Keep-Alive");
  if (!Field)
    return DefaultIdleTime;
  const std::size_t At = Field->find("timeout=");
  if (At == std::string::npos)
    return DefaultIdleTime;
  long Seconds = 0;
  std::from_chars(Field->data() + At + 8, Field->data() + Field->size(),
                  Seconds);
  return std::chrono::milliseconds(Seconds * 800);
}

} // namespace

HttpLink::HttpLink(asio::io_context &Io) : Context(Io), Socket(Io) {}

void HttpLink::close() {
  asio::error_code Ignored;
  this->Socket.close(Ignored);
}

asio::awaitable<std::error_code> HttpLink::connect(tcp::endpoint Server,
                                                   Clock::time_point Deadline) {
  const auto Self = this->shared_from_this();
  const auto TimedOut = std::make_shared<bool>(false);
  Timer Limit(this->Context, Deadline);
  Limit.async_wait([Self, TimedOut](const asio::error_code &Error) {
    if (Error || Self->Connected)
      return;
    *TimedOut = true;
    Self->close();
  });
  asio::error_code Error;
  co_await this->Socket.async_connect(Server, into(Error));
  if (*TimedOut)
    co_return make_error_code(Errc::Timeout);
  this->Connected = !Error;
  Limit.cancel();
  if (Error)
    co_return make_error_code(Error == asio::error::connection_refused
                                  ? Errc::ConnectionRefused
                                  : Errc::ConnectionLost);
  this->Socket.set_option(tcp::no_delay(true), Error);
  co_return std::error_code();
}

bool HttpLink::isReusable() {
  if (!this->Socket.is_open() || !this->KeepAlive || !this->Unread.empty() ||
      Clock::now() >= this->IdleUntil)
    return false;
  // A byte or an end of stream on an idle connection makes it unusable.
  asio::error_code Error;
  char Byte = 0;
  this->Socket.non_blocking(true, Error);
  this->Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek,
                       Error);
  return Error == asio::error::would_block;
}

asio::awaitable<ExchangeResult> HttpLink::exchange(const HttpMessage &Request,
                                                   Clock::time_point Deadline,
                                                   CancellationPtr Cancel,
                                                   AnswerFilter Accepts,
                                                   ParserLimits Limits) {
  const auto Self = this->shared_from_this();
  struct Ending {
    bool TimedOut = false;
    bool Cancelled = false;
    bool Over = false;
  };
  const auto End = std::make_shared<Ending>();
  Timer Limit(this->Context, Deadline);
  Limit.async_wait([Self, End](const asio::error_code &Error) {
    if (Error || End->Over)
      return;
    End->TimedOut = true;
    Self->close();
  });
  if (Cancel)
    Cancel->onCancel([Self, End] {
      if (End->Over)
        return;
      End->Cancelled = true;
      Self->close();
    });

  ExchangeResult Result;
  asio::error_code Error;
  bool Received = false;
  int Skipped = 0;
  if (!End->Cancelled) {
    Result.MayHaveBeenSent = true;
    const std::string Header = requestHeaderText(Request);
    const std::array<asio::const_buffer, 2> Parts = {
        asio::buffer(Header), asio::buffer(Request.Body)};
    co_await asio::async_write(this->Socket, Parts, into(Error));
  }
  // A server may answer before it has read the whole request, so a failed
  // write does not end the exchange.
  std::array<char, ReadBytes> Buffer;
  while (!Received && !End->Cancelled && !End->TimedOut) {
    MessageParser Parser(MessageParser::Kind::Answer, Limits);
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
          asio::buffer(Buffer), into(Error));
      if (Error == asio::error::eof)
        Parser.finish();
      this->Unread.append(Buffer.data(), Length);
    }
    if (!Parser.isComplete()) {
      Result.Error =
          make_error_code(Parser.hasStarted() && !Error ? Errc::Malformed
                                                        : Errc::ConnectionLost);
      break;
    }
    HttpMessage Answer = Parser.take();
    const bool Ended = Error == asio::error::eof || !Answer.KeepAlive;
    if (Answer.Status >= 100 && Answer.Status < 200)
      continue;
    if (Accepts && !Accepts(Answer)) {
      if (!Ended && ++Skipped <= MostSkippedAnswers)
        continue;
      Result.Error = make_error_code(Errc::Malformed);
      break;
    }
    this->KeepAlive = !Ended && Skipped == 0;
    this->IdleUntil = Clock::now() + idleTimeOf(Answer);
    Result.Answer = std::move(Answer);
    Received = true;
  }
  End->Over = true;
  Limit.cancel();
  if (!Received && End->TimedOut)
    Result.Error = make_error_code(Errc::Timeout);
  else if (!Received && End->Cancelled)
    Result.Error = make_error_code(Errc::Cancelled);
  if (!Received || !this->KeepAlive || !this->Unread.empty())
    this->close();
  co_return Result;
}

} // namespace rr
