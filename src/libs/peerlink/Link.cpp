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

// Handshake messages are short; a stranger must not make us buffer more.
constexpr std::size_t MostHandshakeSize = 4096;
// Bytes given to the operating system at a time. Calls queued behind them are
// known not to have left.
constexpr std::size_t WriteSize = std::size_t{64} << 10;
// Frame header and mask of the largest frame.
constexpr std::size_t FrameOverhead = 14;

void countEnd(PeerCounters &Counters, LinkEnd Reason) {
  switch (Reason) {
  case LinkEnd::Silent:
    ++Counters.SilentLinks;
    break;
  case LinkEnd::HandshakeTimeout:
    ++Counters.HandshakeTimeouts;
    break;
  case LinkEnd::Malformed:
    ++Counters.MalformedPeers;
    break;
  case LinkEnd::Oversize:
    ++Counters.OversizeMessages;
    break;
  case LinkEnd::WrongSecret:
    ++Counters.WrongSecrets;
    break;
  case LinkEnd::ProtocolMismatch:
    ++Counters.ProtocolMismatches;
    break;
  case LinkEnd::WrongName:
    ++Counters.WrongNames;
    break;
  case LinkEnd::Duplicate:
    ++Counters.DuplicateLinks;
    break;
  case LinkEnd::Lost:
  case LinkEnd::Stopped:
    break;
  }
}

} // namespace

Link::Link(asio::ip::tcp::socket Socket, WebSocketCodec::Role Side,
           std::shared_ptr<LinkHost> Host, std::string ExpectedName)
    : Socket(std::move(Socket)), Side(Side), Host(std::move(Host)),
      ExpectedName(std::move(ExpectedName)), Serial(++this->Host->LastSerial),
      Auth(this->Host->Options.Protocol,
           PeerIdentity{this->Host->Options.Name, this->Host->Options.Zone,
                        this->Host->Incarnation},
           this->Host->Options.SharedSecret),
      Codec(Side, MostHandshakeSize, this->codecHandlers()),
      Watch(this->Socket.get_executor()), Started(Clock::now()),
      LastHeard(this->Started), LastPing(this->Started) {}

Link::~Link() { this->Host->QueuedBytes -= this->waitingBytes(); }

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
  asio::co_spawn(Executor, this->watchLoop(Self), asio::detached);
  this->Codec.start();
}

asio::awaitable<void> Link::readLoop(std::shared_ptr<Link> Self) {
  for (;;) {
    asio::error_code Error;
    const std::size_t Size = co_await this->Socket.async_read_some(
        asio::buffer(this->ReadBuffer),
        asio::redirect_error(asio::use_awaitable, Error));
    if (Error) {
      this->end(LinkEnd::Lost);
      this->closeSocket();
      co_return;
    }
    // After the end, input is read only to let the close frame through.
    if (this->Phase == State::Ended)
      continue;
    this->LastHeard = Clock::now();
    this->Host->Counters.BytesReceived += Size;
    this->handleStatus(this->Codec.feed(this->ReadBuffer.data(), Size));
  }
}

void Link::handleStatus(WebSocketCodec::Status Status) {
  switch (Status) {
  case WebSocketCodec::Status::Running:
    return;
  case WebSocketCodec::Status::PeerClosed:
    return this->end(linkEndOf(this->Codec.peerCloseCode()));
  case WebSocketCodec::Status::Malformed:
    return this->end(LinkEnd::Malformed);
  case WebSocketCodec::Status::TooLarge:
    return this->end(LinkEnd::Oversize);
  }
}

void Link::handlePayload(std::string Payload) {
  if (this->Phase == State::Ended)
    return;
  if (this->Phase == State::Handshaking)
    return this->handleHandshake(Payload);
  auto Received = decodeEnvelope(Payload);
  if (!Received)
    return this->end(LinkEnd::Malformed);
  ++this->Host->Counters.MessagesReceived;
  this->Host->OnEnvelope(*this, std::move(*Received));
}

void Link::handleHandshake(const std::string &Payload) {
  if (!this->isDialer()) {
    if (const auto Problem = this->Auth.readHello(Payload))
      return this->end(*Problem);
    if (const auto Unwanted = this->Host->OnAuthenticated(*this))
      return this->end(*Unwanted);
    this->Codec.sendBinary(this->Auth.welcome());
    return this->becomeUp();
  }
  // The acceptor's challenge comes first, its welcome second.
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
    return this->end(LinkEnd::WrongName);
  if (const auto Unwanted = this->Host->OnAuthenticated(*this))
    return this->end(*Unwanted);
  this->becomeUp();
}

void Link::becomeUp() {
  this->Phase = State::Up;
  this->Reached = true;
  this->Codec.setMostMessageSize(this->Host->Options.Limits.MessageSize);
  this->sendPing(Clock::now());
  this->Watch.cancel();
  this->Host->OnUp(*this);
}

void Link::end(LinkEnd Reason) {
  if (this->Phase == State::Ended)
    return;
  this->Phase = State::Ended;
  countEnd(this->Host->Counters, Reason);
  const auto Self = this->shared_from_this();
  this->OutputDropped = this->hasBacklog();
  this->Codec.close(closeCodeOf(Reason));
  this->Watch.cancel();
  this->Host->OnEnd(*this, Reason);
}

void Link::retire() {
  this->Retiring = true;
  this->RetiredAt = Clock::now();
}

Outcome<void> Link::send(std::string_view Encoded) {
  const PeerLimits &Limits = this->Host->Options.Limits;
  if (this->Phase != State::Up)
    return failure(Errc::Unavailable);
  if (Encoded.size() > Limits.MessageSize)
    return failure(Errc::TooLarge);
  const std::size_t Size = Encoded.size() + FrameOverhead;
  if (this->waitingBytes() + Size > Limits.LinkQueue ||
      this->Host->QueuedBytes + Size > Limits.TotalQueue) {
    ++this->Host->Counters.RefusedSends;
    return failure(Errc::LimitReached);
  }
  if (!this->Codec.sendBinary(Encoded))
    return failure(Errc::Unavailable);
  ++this->Host->Counters.MessagesSent;
  return {};
}

std::size_t Link::waitingBytes() const {
  return this->Writing.size() - this->Written + this->Waiting.size();
}

// Whether messages wait that the operating system was not offered yet.
bool Link::hasBacklog() const {
  return this->Written + this->Offered < this->Writing.size() ||
         !this->Waiting.empty();
}

void Link::queueOutput(const char *Data, std::size_t Size) {
  if (this->OutputDropped)
    return;
  this->Waiting.append(Data, Size);
  this->QueuedTotal += Size;
  this->Host->QueuedBytes += Size;
  this->startWrite();
}

void Link::takeWaiting() {
  this->Writing.clear();
  // A burst must not keep its memory for the life of the link.
  if (this->Writing.capacity() > WriteSize)
    this->Writing.shrink_to_fit();
  this->Written = 0;
  std::swap(this->Writing, this->Waiting);
}

void Link::startWrite() {
  if (this->WriteActive || !this->Socket.is_open())
    return;
  if (this->OutputDropped)
    return this->closeSocket();
  if (this->Written == this->Writing.size())
    this->takeWaiting();
  if (this->Writing.empty()) {
    if (this->Phase == State::Ended) {
      asio::error_code Ignored;
      this->Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
    }
    return;
  }
  const std::size_t Size =
      std::min(WriteSize, this->Writing.size() - this->Written);
  this->Offered = Size;
  this->OfferedTotal += Size;
  this->WriteActive = true;
  this->WriteStarted = Clock::now();
  this->Socket.async_write_some(
      asio::buffer(this->Writing.data() + this->Written, Size),
      [Self = this->shared_from_this(), Size](const asio::error_code &Error,
                                              std::size_t Taken) {
        Self->OfferedTotal -= Size - Taken;
        Self->finishWrite(Error, Taken);
      });
}

void Link::finishWrite(const asio::error_code &Error, std::size_t Size) {
  this->WriteActive = false;
  this->Offered = 0;
  this->Written += Size;
  this->Host->QueuedBytes -= Size;
  this->Host->Counters.BytesSent += Size;
  if (Error) {
    this->end(LinkEnd::Lost);
    return this->closeSocket();
  }
  this->startWrite();
}

void Link::closeSocket() {
  asio::error_code Ignored;
  this->Socket.close(Ignored);
  this->Watch.cancel();
}

} // namespace rr
