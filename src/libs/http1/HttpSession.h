#ifndef REDWINGRACK_HTTP1_HTTPSESSION_H
#define REDWINGRACK_HTTP1_HTTPSESSION_H

#include "base/Cancellation.h"
#include "base/Timer.h"
#include "http1/HttpMessage.h"
#include "http1/SessionContext.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace rr {

class MessageParser;

/// One client's connection. Requests that the client sends before it has the
/// answers to earlier ones run at the same time, if the rules allow it; the
/// answers go out in the order of the requests. What stands behind a request
/// that ends the connection does not run.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
  /// Requests of one connection that run or wait for their turn to be written.
  static constexpr std::size_t MaxPipelinedRequests = 8;
  /// Bytes of answers that wait for their turn, beyond which no further
  /// request begins.
  static constexpr std::size_t MaxPendingResponseBytes = std::size_t{1} << 20;

  HttpSession(asio::ip::tcp::socket Opened, asio::io_context &Context,
              std::shared_ptr<SessionContext> Shared);
  ~HttpSession();
  HttpSession(const HttpSession &) = delete;
  HttpSession &operator=(const HttpSession &) = delete;

  /// Serves the client until the connection ends.
  asio::awaitable<void> run();
  /// Ends the connection if it carries no request.
  void closeIfIdle();
  /// Ends the connection at once.
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
  /// What the client is waited for, which has its own time limit.
  enum class ReadTimeout { None, Idle, Request };

  asio::awaitable<void> receiveLoop();
  asio::awaitable<void> execute(ExchangePtr Item, HttpMessage Request);
  asio::awaitable<void> sendLoop();
  asio::awaitable<bool> write(const std::string &Text);
  /// Writes the answer in front. False when the connection ends with it.
  asio::awaitable<bool> writeNextResponse();
  asio::awaitable<void> linger();
  asio::awaitable<void> waitForChange();
  /// Reads and starts what may start now.
  void processInput();
  bool mayStart(const HttpMessage &Request) const;
  /// Takes the request that was read in whole out of the parser.
  void takeParsedRequest();
  void startExchange(HttpMessage Request);
  void reject(int Status);
  void handleDisconnect();
  void notifyChange();
  /// Keeps the count of active connections and the client's time limit.
  void updateActivity();
  void onReadTimeout();
  std::size_t pendingResponseBytes() const;

  asio::ip::tcp::socket Socket;
  asio::io_context &Context;
  std::shared_ptr<SessionContext> Shared;
  Timer ReadTimer;
  Timer WriteTimer;
  /// Fires when something has changed that a coroutine may wait for.
  Timer ChangeSignal;
  std::unique_ptr<MessageParser> Parser;
  std::string Unread;
  /// In the order of the requests.
  std::deque<ExchangePtr> Exchanges;
  /// Read in whole, but must not run before those in front of it.
  std::optional<HttpMessage> DeferredRequest;
  ReadTimeout CurrentReadTimeout = ReadTimeout::None;
  bool ContinueSent = false;
  bool Active = false;
  bool Writing = false;
  /// No further request begins.
  bool Closing = false;
  /// The client has ended the connection, or its reading side has failed.
  bool Disconnected = false;
  /// The receiving coroutine has ended.
  bool ReceiveFinished = false;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_HTTPSESSION_H
