#include "peerlink/PeerCoroutines.h"

#include "base/OneShotEvent.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <exception>
#include <memory>
#include <utility>

namespace rr {

namespace {

using CallCoroutine =
    std::function<asio::awaitable<Outcome<Message>>(IncomingCall)>;

struct PendingAnswer {
  explicit PendingAnswer(const asio::any_io_executor &Executor)
      : Arrived(Executor) {}
  OneShotEvent Arrived;
  Outcome<Message> Result = failure(Errc::Unknown);
};

asio::awaitable<void> answerCall(std::shared_ptr<CallCoroutine> Handler,
                                 IncomingCall Call) {
  const auto Answer = Call.Answer;
  Outcome<Message> Result = co_await (*Handler)(std::move(Call));
  Answer(std::move(Result));
}

} // namespace

asio::awaitable<Outcome<Message>> callPeer(PeerNode &Node, std::string Peer,
                                           Message Request,
                                           Clock::time_point Deadline,
                                           CancellationPtr Caller) {
  const auto Waiting = std::make_shared<PendingAnswer>(Node.executor());
  const std::uint64_t Id =
      Node.call(Peer, Request, Deadline, [Waiting](Outcome<Message> Result) {
        Waiting->Result = std::move(Result);
        Waiting->Arrived.set();
      });
  if (Caller) {
    // The node may have been destroyed when the request is cancelled after its
    // answer arrived, so Node is used only while the call is open.
    std::weak_ptr<PendingAnswer> Weak = Waiting;
    Caller->onCancel([&Node, Id, Weak] {
      const auto Open = Weak.lock();
      if (Open && !Open->Arrived.isSet())
        Node.cancelCall(Id);
    });
  }
  co_await Waiting->Arrived.wait();
  co_return std::move(Waiting->Result);
}

void onCallCoroutine(PeerNode &Node, const std::string &Method,
                     CallCoroutine Handler) {
  const auto Shared = std::make_shared<CallCoroutine>(std::move(Handler));
  const auto Executor = Node.executor();
  Node.onCall(Method, [Shared, Executor](IncomingCall Call) {
    // When the handler throws, its copy of Answer is destroyed, which ends the
    // call with Errc::Unknown.
    asio::co_spawn(Executor, answerCall(Shared, std::move(Call)),
                   [](const std::exception_ptr &) {});
  });
}

} // namespace rr
