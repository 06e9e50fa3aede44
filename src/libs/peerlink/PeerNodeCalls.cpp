#include "peerlink/PeerNodeState.h"

#include <algorithm>
#include <asio/post.hpp>
#include <chrono>
#include <utility>

namespace rr {

namespace {

// Maximum time until the deadline of a call. Limits how long the callee keeps
// its state.
constexpr std::uint64_t MaxCallMilliseconds = 3'600'000;

std::uint64_t millisecondsUntil(Clock::time_point Deadline) {
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      Deadline - Clock::now());
  const auto Count = static_cast<std::uint64_t>(
      std::max<std::chrono::milliseconds::rep>(Left.count(), 0));
  return std::min(Count, MaxCallMilliseconds);
}

// Method name in answers that have none.
constexpr const char *AnswerMethod = "answer";

bool isErrc(std::uint64_t Value) {
  return Value >= 1 && Value <= static_cast<std::uint64_t>(Errc::Unknown);
}

Envelope answerEnvelope(std::uint64_t Id, Outcome<Message> Result) {
  Envelope Reply;
  Reply.Type = Envelope::Kind::Answer;
  Reply.Id = Id;
  if (Result)
    Reply.Content = std::move(*Result);
  else if (Result.error().category() == errorCategory())
    Reply.Number = static_cast<std::uint64_t>(Result.error().value());
  else
    Reply.Number = static_cast<std::uint64_t>(Errc::Unknown);
  if (!isMethodName(Reply.Content.Method))
    Reply.Content.Method = AnswerMethod;
  return Reply;
}

// Delivers the first answer, or Errc::Unknown on destruction without one.
struct AnswerOnce {
  std::function<void(Outcome<Message>)> Deliver;

  void answer(Outcome<Message> Result) {
    if (const auto Once = std::exchange(this->Deliver, nullptr))
      Once(std::move(Result));
  }
  ~AnswerOnce() { this->answer(failure(Errc::Unknown)); }
};

} // namespace

void PeerNode::State::postFailure(AnswerHandler Done, Errc Reason) {
  asio::post(this->Context,
             [Done = std::move(Done), Reason] { Done(failure(Reason)); });
}

std::uint64_t PeerNode::State::call(const std::string &Peer,
                                    const Message &Request,
                                    Clock::time_point Deadline,
                                    AnswerHandler Done) {
  Link *Active = this->activeLink(Peer);
  const auto Refuse = [&](Errc Reason) -> std::uint64_t {
    this->postFailure(std::move(Done), Reason);
    return 0;
  };
  if (!isMethodName(Request.Method))
    return Refuse(Errc::Malformed);
  if (!Active || Deadline <= Clock::now())
    return Refuse(Errc::Unavailable);
  if (this->Calls->countOn(*Active) >=
      this->Shared->Options.Limits.MaxOpenCalls) {
    ++this->Shared->Counters.RefusedSends;
    return Refuse(Errc::LimitReached);
  }
  Envelope Wrapped;
  Wrapped.Type = Envelope::Kind::Call;
  Wrapped.Id = this->Calls->nextId();
  Wrapped.Number = millisecondsUntil(Deadline);
  Wrapped.Content = Request;
  const std::uint64_t Offset = Active->queuedTotal();
  const auto Sent = Active->send(encodeEnvelope(Wrapped));
  if (!Sent)
    return Refuse(static_cast<Errc>(Sent.error().value()));
  this->Calls->add(Wrapped.Id, *Active, Offset, Deadline, std::move(Done));
  return Wrapped.Id;
}

void PeerNode::State::cancelCall(std::uint64_t Call) {
  const Link *Carrier = this->Calls->linkOf(Call);
  if (!Carrier)
    return;
  Envelope Notice;
  Notice.Type = Envelope::Kind::Cancel;
  Notice.Id = Call;
  Notice.Content.Method = "cancel";
  const auto Found = this->Links.find(Carrier->serial());
  if (Found != this->Links.end())
    // Sent on a best-effort basis: without it the peer only does needless work.
    static_cast<void>(Found->second->send(encodeEnvelope(Notice)));
  this->Calls->fail(Call, Errc::Cancelled);
}

void PeerNode::State::receive(Link &From, Envelope Received) {
  switch (Received.Type) {
  case Envelope::Kind::OneWay:
    return this->receiveMessage(From, std::move(Received));
  case Envelope::Kind::Call:
    return this->receiveCall(From, std::move(Received));
  case Envelope::Kind::Answer:
    return this->receiveAnswer(From, std::move(Received));
  case Envelope::Kind::Cancel:
    return this->receiveCancel(From, Received.Id);
  }
}

void PeerNode::State::receiveMessage(Link &From, Envelope Received) {
  const auto Found = this->OnMessage.find(Received.Content.Method);
  if (Found == this->OnMessage.end()) {
    ++this->Shared->Counters.UnknownMethods;
    return;
  }
  const MessageHandler Kept = Found->second;
  Kept(From.peer().Name, std::move(Received.Content));
}

void PeerNode::State::receiveCall(Link &From, Envelope Received) {
  const std::uint64_t Serial = From.serial();
  const std::uint64_t Id = Received.Id;
  OpenCalls &Open = this->Incoming[Serial];
  if (Open.count(Id) > 0)
    return From.end(LinkEndReason::Malformed);
  const auto Caller = std::make_shared<Cancellation>();
  Open[Id] = Caller;
  const auto Found = this->OnCall.find(Received.Content.Method);
  if (Found == this->OnCall.end()) {
    ++this->Shared->Counters.UnknownMethods;
    return this->answer(Serial, Id, failure(Errc::NotFound));
  }
  if (Open.size() > this->Shared->Options.Limits.MaxOpenCalls)
    return this->answer(Serial, Id, failure(Errc::LimitReached));

  const auto Once = std::make_shared<AnswerOnce>();
  Once->Deliver = [Weak = this->weak_from_this(), Serial,
                   Id](Outcome<Message> Result) {
    if (const auto Self = Weak.lock())
      Self->answer(Serial, Id, std::move(Result));
  };
  IncomingCall Call;
  Call.Peer = From.peer().Name;
  Call.Request = std::move(Received.Content);
  Call.Deadline =
      Clock::now() +
      std::chrono::milliseconds(std::min(Received.Number, MaxCallMilliseconds));
  Call.Cancelled = Caller;
  Call.Answer = [Once](Outcome<Message> Result) {
    Once->answer(std::move(Result));
  };
  const CallHandler Kept = Found->second;
  Kept(std::move(Call));
}

void PeerNode::State::answer(std::uint64_t Serial, std::uint64_t Id,
                             Outcome<Message> Result) {
  // There is no entry when the link was closed or the call was cancelled.
  const auto Open = this->Incoming.find(Serial);
  if (Open == this->Incoming.end() || Open->second.erase(Id) == 0)
    return;
  if (Open->second.empty())
    this->Incoming.erase(Open);
  const auto Found = this->Links.find(Serial);
  if (Found == this->Links.end())
    return;
  const auto Carrier = Found->second;
  const Envelope Reply = answerEnvelope(Id, std::move(Result));
  const auto Sent = Carrier->send(encodeEnvelope(Reply));
  if (Sent || Sent.error() == Errc::Unavailable)
    return;
  // The answer is too large or the queue is full. Errc::Unknown tells the
  // caller that the call may have run.
  const Envelope Short = answerEnvelope(Id, failure(Errc::Unknown));
  static_cast<void>(Carrier->send(encodeEnvelope(Short)));
}

void PeerNode::State::receiveAnswer(Link &From, Envelope Received) {
  if (Received.Number == 0) {
    this->Calls->finish(Received.Id, From, std::move(Received.Content));
    return;
  }
  if (!isErrc(Received.Number))
    return From.end(LinkEndReason::Malformed);
  this->Calls->finish(Received.Id, From,
                      failure(static_cast<Errc>(Received.Number)));
}

void PeerNode::State::receiveCancel(Link &From, std::uint64_t Id) {
  const auto Open = this->Incoming.find(From.serial());
  if (Open == this->Incoming.end())
    return;
  const auto Found = Open->second.find(Id);
  if (Found == Open->second.end())
    return;
  const CancellationPtr Caller = Found->second;
  Open->second.erase(Found);
  if (Open->second.empty())
    this->Incoming.erase(Open);
  Caller->cancel();
}

} // namespace rr
