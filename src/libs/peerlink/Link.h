#ifndef REDWINGRACK_PEERLINK_LINK_H
#define REDWINGRACK_PEERLINK_LINK_H

#include "base/Timer.h"
#include "peerlink/Handshake.h"
#include "peerlink/LinkContext.h"
#include "peerlink/WebSocketCodec.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>

namespace rr {

/// Connection between two instances: socket, WebSocket codec, handshake,
/// heartbeat and bounded send queue.
class Link : public std::enable_shared_from_this<Link> {
public:
  enum class State { Handshaking, Up, Ended };

  /// \p ExpectedName is the instance that a dialer connects to; empty for an
  /// acceptor.
  Link(asio::ip::tcp::socket Socket, WebSocketCodec::Role Side,
       std::shared_ptr<LinkContext> Shared, std::string ExpectedName);
  ~Link();

  void start();
  /// Closes the link and sends the reason to the other end.
  void end(LinkEndReason Reason);
  /// Closes the link once its calls have ended. New messages must use another
  /// link.
  void retire();

  /// Queues an encoded envelope. Errc::TooLarge when it exceeds the maximum
  /// message size, Errc::LimitReached when a queue is full, Errc::Unavailable
  /// when the link is not up.
  Outcome<void> send(std::string_view Encoded);

  State state() const { return this->Phase; }
  bool isDialer() const { return this->Side == WebSocketCodec::Role::Dialer; }
  bool wasUp() const { return this->EverUp; }
  bool isRetiring() const { return this->Retiring; }
  const PeerIdentity &peer() const { return this->Auth.peer(); }
  const std::string &expectedName() const { return this->ExpectedName; }
  /// Address and port of the other end.
  const std::string &remoteAddress() const { return this->RemoteAddress; }
  /// Unique among the links of the instance.
  std::uint64_t serial() const { return this->Serial; }
  std::optional<Clock::duration> roundTrip() const { return this->RoundTrip; }

  /// Bytes queued since the link was opened, and how many of them were passed
  /// to the operating system and may have been sent.
  std::uint64_t queuedTotal() const { return this->QueuedTotal; }
  std::uint64_t offeredTotal() const { return this->OfferedTotal; }

private:
  WebSocketCodec::Handlers codecHandlers();
  asio::awaitable<void> readLoop(std::shared_ptr<Link> Self);
  asio::awaitable<void> healthLoop(std::shared_ptr<Link> Self);
  asio::awaitable<void> linger();
  asio::awaitable<void> waitUntil(Clock::time_point Time);
  void checkHealth(Clock::time_point Now);
  void sendPing(Clock::time_point Now);
  Clock::time_point nextCheck() const;
  void handleStatus(WebSocketCodec::Status Status);
  void handlePayload(std::string Payload);
  void handleHandshake(const std::string &Payload);
  void becomeUp();
  void queueOutput(const char *Data, std::size_t Size);
  void swapBuffers();
  void startWrite();
  void finishWrite(const asio::error_code &Error, std::size_t Size);
  std::size_t unwrittenBytes() const;
  bool hasUnofferedOutput() const;
  void closeSocket();

  asio::ip::tcp::socket Socket;
  WebSocketCodec::Role Side;
  std::shared_ptr<LinkContext> Shared;
  std::string ExpectedName;
  std::uint64_t Serial;
  std::string RemoteAddress;
  Handshake Auth;
  WebSocketCodec Codec;
  Timer HealthTimer;
  State Phase = State::Handshaking;
  bool ChallengeRead = false;
  bool EverUp = false;
  bool Retiring = false;

  Clock::time_point Started;
  Clock::time_point LastReceived;
  Clock::time_point LastPing;
  Clock::time_point RetiredAt;
  std::uint64_t PingNumber = 0;
  std::optional<Clock::duration> RoundTrip;

  std::array<char, 16384> ReadBuffer{};
  // Output being written, the number of its bytes that were written, the number
  // that the pending write was given, and the output queued behind it.
  std::string WriteBuffer;
  std::size_t WrittenBytes = 0;
  std::size_t OfferedBytes = 0;
  std::string PendingOutput;
  bool WriteActive = false;
  // The link was closed with messages in the queue. They were reported as not
  // sent and must not be written any more.
  bool OutputDropped = false;
  Clock::time_point WriteStarted;
  std::uint64_t QueuedTotal = 0;
  std::uint64_t OfferedTotal = 0;
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_LINK_H
