#include "peerlink/Link.h"

#include "peerlink/PeerAddress.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <utility>

namespace rr {

namespace {

// Limits what an unauthenticated connection can make this process buffer.
constexpr std::size_t MaxHandshakeMessageBytes = 4096;
// Bytes passed to the operating system at a time. Calls queued behind them are
// known not to have been sent.
constexpr std::size_t WriteChunkBytes = std::size_t{64} << 10;
// Maximum size of a WebSocket frame header including the mask.
constexpr std::size_t FrameOverheadBytes = 14;

void countEnd(PeerCounters &Counters, LinkEndReason Reason) {
  switch (Reason) {
  case LinkEndReason::Silent:
    ++Counters.SilentLinks;
    break;
  case LinkEndReason::HandshakeTimeout:
    ++Counters.HandshakeTimeouts;
    break;
  case LinkEndReason::Malformed:
    ++Counters.MalformedPeers;
    break;
  case LinkEndReason::Oversize:
    ++Counters.OversizeMessages;
    break;
  case LinkEndReason::WrongSecret:
    ++Counters.WrongSecrets;
    break;
  case LinkEndReason::ProtocolMismatch:
    ++Counters.ProtocolMismatches;
    break;
  case LinkEndReason::WrongName:
    ++Counters.WrongNames;
    break;
  case LinkEndReason::Duplicate:
    ++Counters.DuplicateLinks;
    break;
  case LinkEndReason::Lost:
  case LinkEndReason::Stopped:
    break;
  }
}

} // namespace

Link::Link(asio::ip::tcp::socket Socket, WebSocketCodec::Role Side,
           std::shared_ptr<LinkContext> Shared, std::string ExpectedName)
    : Socket(std::move(Socket)), Side(Side), Shared(std::move(Shared)),
      ExpectedName(std::move(ExpectedName)), Serial(++this->Shared->LastSerial),
      Auth(this->Shared->Options.Protocol,
           PeerIdentity{this->Shared->Options.Name, this->Shared->Options.Zone,
                        this->Shared->Incarnation},
           this->Shared->Options.SharedSecret),
      Codec(Side, MaxHandshakeMessageBytes, this->codecHandlers()),
      HealthTimer(this->Socket.get_executor()), Started(Clock::now()),
      LastReceived(this->Started), LastPing(this->Started) {}

Link::~Link() { this->Shared->QueuedBytes -= this->unwrittenBytes(); }

WebSocketCodec::Handlers Link::codecHandlers() {
  WebSocketCodec::Handlers Result;
  Result.OnOutput = [this](const char *Data, std::size_t Size) {
    this->queueOutput(Data, Size);
  };
  Result.OnOpen = [this] {
    if (!this->isDialer())
      this->Codec.sendBinary(this->Auth.challenge());
  };
  Result.OnMessage = [this](std::string Payload) {
    this->handlePayload(std::move(Payload));
  };
  Result.OnPong = [this](const std::string &Payload) {
    if (Payload == std::to_string(this->PingNumber))
      this->RoundTrip = Clock::now() - this->LastPing;
  };
  return Result;
}

void Link::start() {
  asio::error_code Ignored;
  const auto Remote = this->Socket.remote_endpoint(Ignored);
  if (!Ignored)
    this->RemoteAddress = formatPeerAddress(Remote);
  this->Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  const auto Self = this->shared_from_this();
  const auto Executor = this->Socket.get_executor();
  asio::co_spawn(Executor, this->readLoop(Self), asio::detached);
  asio::co_spawn(Executor, this->healthLoop(Self), asio::detached);
  this->Codec.start();
}

asio::awaitable<void> Link::readLoop(std::shared_ptr<Link> Self) {
  for (;;) {
    asio::error_code Error;
    const std::size_t Size = co_await this->Socket.async_read_some(
        asio::buffer(this->ReadBuffer),
        asio::redirect_error(asio::use_awaitable, Error));
    if (Error) {
      this->end(LinkEndReason::Lost);
      this->closeSocket();
      co_return;
    }
    // After end() input is discarded. Reading continues only because closing a
    // socket with unread input may prevent delivery of the close frame.
    if (this->Phase == State::Ended)
      continue;
    this->LastReceived = Clock::now();
    this->Shared->Counters.BytesReceived += Size;
    this->handleStatus(this->Codec.feed(this->ReadBuffer.data(), Size));
  }
}

void Link::handleStatus(WebSocketCodec::Status Status) {
  switch (Status) {
  case WebSocketCodec::Status::Running:
    return;
  case WebSocketCodec::Status::PeerClosed:
    return this->end(linkEndReasonOf(this->Codec.peerCloseCode()));
  case WebSocketCodec::Status::Malformed:
    return this->end(LinkEndReason::Malformed);
  case WebSocketCodec::Status::TooLarge:
    return this->end(LinkEndReason::Oversize);
  }
}

void Link::handlePayload(std::string Payload) {
  if (this->Phase == State::Ended)
    return;
  if (this->Phase == State::Handshaking)
    return this->handleHandshake(Payload);
  auto Received = decodeEnvelope(Payload);
  if (!Received)
    return this->end(LinkEndReason::Malformed);
  ++this->Shared->Counters.MessagesReceived;
  this->Shared->OnEnvelope(*this, std::move(*Received));
}

void Link::handleHandshake(const std::string &Payload) {
  if (!this->isDialer()) {
    if (const auto Problem = this->Auth.readHello(Payload))
      return this->end(*Problem);
    if (const auto Unwanted = this->Shared->OnAuthenticated(*this))
      return this->end(*Unwanted);
    this->Codec.sendBinary(this->Auth.welcome());
    return this->becomeUp();
  }
  // The acceptor sends its challenge first and its welcome second.
  if (!this->ChallengeRead) {
    this->ChallengeRead = true;
    if (const auto Problem = this->Auth.readChallenge(Payload))
      return this->end(*Problem);
    this->Codec.sendBinary(this->Auth.hello());
    return;
  }
  if (const auto Problem = this->Auth.readWelcome(Payload))
    return this->end(*Problem);
  if (this->peer().Name != this->ExpectedName)
    return this->end(LinkEndReason::WrongName);
  if (const auto Unwanted = this->Shared->OnAuthenticated(*this))
    return this->end(*Unwanted);
  this->becomeUp();
}

void Link::becomeUp() {
  this->Phase = State::Up;
  this->EverUp = true;
  this->Codec.setMaxMessageBytes(this->Shared->Options.Limits.MaxMessageBytes);
  this->sendPing(Clock::now());
  this->HealthTimer.cancel();
  this->Shared->OnUp(*this);
}

void Link::end(LinkEndReason Reason) {
  if (this->Phase == State::Ended)
    return;
  this->Phase = State::Ended;
  countEnd(this->Shared->Counters, Reason);
  const auto Self = this->shared_from_this();
  this->OutputDropped = this->hasUnofferedOutput();
  this->Codec.close(closeCodeOf(Reason));
  this->HealthTimer.cancel();
  this->Shared->OnEnd(*this, Reason);
}

void Link::retire() {
  this->Retiring = true;
  this->RetiredAt = Clock::now();
}

Outcome<void> Link::send(std::string_view Encoded) {
  const PeerLimits &Limits = this->Shared->Options.Limits;
  if (this->Phase != State::Up)
    return failure(Errc::Unavailable);
  if (Encoded.size() > Limits.MaxMessageBytes)
    return failure(Errc::TooLarge);
  const std::size_t Size = Encoded.size() + FrameOverheadBytes;
  if (this->unwrittenBytes() + Size > Limits.MaxLinkQueueBytes ||
      this->Shared->QueuedBytes + Size > Limits.MaxTotalQueueBytes) {
    ++this->Shared->Counters.RefusedSends;
    return failure(Errc::LimitReached);
  }
  if (!this->Codec.sendBinary(Encoded))
    return failure(Errc::Unavailable);
  ++this->Shared->Counters.MessagesSent;
  return {};
}

std::size_t Link::unwrittenBytes() const {
  return this->WriteBuffer.size() - this->WrittenBytes +
         this->PendingOutput.size();
}

// Whether there is queued output that was not yet passed to the operating
// system.
bool Link::hasUnofferedOutput() const {
  return this->WrittenBytes + this->OfferedBytes < this->WriteBuffer.size() ||
         !this->PendingOutput.empty();
}

void Link::queueOutput(const char *Data, std::size_t Size) {
  if (this->OutputDropped)
    return;
  this->PendingOutput.append(Data, Size);
  this->QueuedTotal += Size;
  this->Shared->QueuedBytes += Size;
  this->startWrite();
}

void Link::swapBuffers() {
  this->WriteBuffer.clear();
  // Release the memory of a burst.
  if (this->WriteBuffer.capacity() > WriteChunkBytes)
    this->WriteBuffer.shrink_to_fit();
  this->WrittenBytes = 0;
  std::swap(this->WriteBuffer, this->PendingOutput);
}

void Link::startWrite() {
  if (this->WriteActive || !this->Socket.is_open())
    return;
  if (this->OutputDropped)
    return this->closeSocket();
  if (this->WrittenBytes == this->WriteBuffer.size())
    this->swapBuffers();
  if (this->WriteBuffer.empty()) {
    if (this->Phase == State::Ended) {
      asio::error_code Ignored;
      this->Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
    }
    return;
  }
  const std::size_t Size =
      std::min(WriteChunkBytes, this->WriteBuffer.size() - this->WrittenBytes);
  this->OfferedBytes = Size;
  this->OfferedTotal += Size;
  this->WriteActive = true;
  this->WriteStarted = Clock::now();
  this->Socket.async_write_some(
      asio::buffer(this->WriteBuffer.data() + this->WrittenBytes, Size),
      [Self = this->shared_from_this(), Size](const asio::error_code &Error,
                                              std::size_t Taken) {
        Self->OfferedTotal -= Size - Taken;
        Self->finishWrite(Error, Taken);
      });
}

void Link::finishWrite(const asio::error_code &Error, std::size_t Size) {
  this->WriteActive = false;
  this->OfferedBytes = 0;
  this->WrittenBytes += Size;
  this->Shared->QueuedBytes -= Size;
  this->Shared->Counters.BytesSent += Size;
  if (Error) {
    this->end(LinkEndReason::Lost);
    return this->closeSocket();
  }
  this->startWrite();
}

void Link::closeSocket() {
  asio::error_code Ignored;
  this->Socket.close(Ignored);
  this->HealthTimer.cancel();
}

} // namespace rr
