#ifndef REDWINGRACK_HTTP1_HTTPSESSION_H
#define REDWINGRACK_HTTP1_HTTPSESSION_H

#include "base/Cancellation.h"
#include "base/Timer.h"
#include "http1/ByteBudget.h"
#include "http1/HttpMessage.h"
#include "http1/SessionContext.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <string>

namespace rr {

class MessageParser;

/// Server side of one client connection. Pipelined requests run concurrently
/// where SessionContext::MayPipeline allows it; responses are sent in the order
/// of the requests. Requests received after one that closes the connection are
/// discarded.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
  /// Requests of one connection that are running or whose response has not
  /// been sent.
  static constexpr std::size_t MaxPipelinedRequests = 8;
  /// No further request starts while unsent response bodies hold this many
  /// bytes or more.
  static constexpr std::size_t MaxPendingResponseBytes = std::size_t{1} << 20;

  HttpSession(asio::ip::tcp::socket Opened, asio::io_context &Context,
              std::shared_ptr<SessionContext> Shared);
  ~HttpSession();
  HttpSession(const HttpSession &) = delete;
  HttpSession &operator=(const HttpSession &) = delete;

  /// Serves the client until the connection is closed.
  asio::awaitable<void> run();
  /// Closes the connection if it has no request in progress.
  void closeIfIdle();
  /// Closes an idle connection immediately, to make room for another one.
  /// Returns false, and does nothing, if it has been idle for less than
  /// \p MinIdle or has unread input.
  bool closeToMakeRoom(Clock::duration MinIdle);
  /// Refuses the request whose body is being read if
  /// SessionContext::RefuseUpload says so.
  void checkUpload();
  /// Answers the request that is being read, if any, with \p Refusal.
  void refuseRead(const HttpMessage &Refusal);
  /// Closes the connection immediately.
  void close();

private:
  struct Exchange {
    HttpMessage Reply;
    CancellationPtr Cancel = std::make_shared<Cancellation>();
    bool Done = false;
    bool WithBody = true;
    bool KeepAlive = true;
  };
  using ExchangePtr = std::shared_ptr<Exchange>;
  /// Which timeout applies while waiting for input.
  enum class ReadTimeout { None, Idle, Request };

  asio::awaitable<void> receiveLoop();
  asio::awaitable<void> execute(ExchangePtr Item, HttpMessage Request);
  asio::awaitable<void> sendLoop();
  asio::awaitable<bool> write(const std::string &Text);
  /// Writes the response of the oldest exchange. Returns false when the
  /// connection is to be closed afterwards or writing failed.
  asio::awaitable<bool> writeNextResponse();
  /// Keeps reading until the client closes, at most for the linger timeout.
  asio::awaitable<void> linger();
  asio::awaitable<void> waitForChange();
  /// Parses buffered input and starts the requests that may run now.
  void processInput();
  bool mayStart(const HttpMessage &Request) const;
  /// Reserves memory for the unparsed input and one more read. Returns false if
  /// reading has to wait until a running request has ended.
  bool reserveUnread();
  /// Moves the completely parsed request to DeferredRequest.
  void takeParsedRequest();
  void startExchange(HttpMessage Request);
  /// Answers the request that is being read with \p Reply and closes the
  /// connection.
  void reject(HttpMessage Reply);
  void reject(int Status);
  void handleDisconnect();
  void notifyChange();
  /// Updates the number of active connections and restarts the read timer
  /// when a different timeout applies.
  void updateActivity();
  /// Enters or leaves SessionContext::Idle.
  void setIdle(bool Now);
  void onReadTimeout();
  std::size_t pendingResponseBytes() const;

  asio::ip::tcp::socket Socket;
  asio::io_context &Context;
  std::shared_ptr<SessionContext> Shared;
  Timer ReadTimer;
  Timer WriteTimer;
  /// Used as a condition variable: cancelled to wake waitForChange().
  Timer ChangeSignal;
  std::unique_ptr<MessageParser> Parser;
  std::string Unread;
  /// Covers Unread; null without a budget.
  std::unique_ptr<ByteBudget::Reservation> UnreadReservation;
  /// In the order of the requests.
  std::deque<ExchangePtr> Exchanges;
  /// Completely received, but not yet allowed to start.
  std::optional<HttpMessage> DeferredRequest;
  ReadTimeout CurrentReadTimeout = ReadTimeout::None;
  bool ContinueSent = false;
  bool Active = false;
  /// Position in SessionContext::Idle while the connection is idle.
  std::optional<std::list<HttpSession *>::iterator> IdlePosition;
  Clock::time_point IdleSince{};
  bool Writing = false;
  /// No further request is started.
  bool Closing = false;
  /// The client has closed the connection, or reading from it has failed.
  bool Disconnected = false;
  /// receiveLoop() has returned.
  bool ReceiveFinished = false;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_HTTPSESSION_H
