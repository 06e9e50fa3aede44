#include "instance/PeerPublisher.h"

#include "base/OneShotEvent.h"
#include "instance/InstanceState.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <utility>

namespace rr {

using nlohmann::json;

/// Messages that have not been confirmed yet.
struct PeerPublisher::Acknowledgements {
  explicit Acknowledgements(const asio::any_io_executor &Executor)
      : Done(Executor) {}

  OneShotEvent Done;
  std::size_t Missing = 0;
};

PeerPublisher::PeerPublisher(InstanceState &State, const PeerNetwork &Network,
                             asio::any_io_executor Executor)
    : State(State), Network(Network), Executor(std::move(Executor)) {}

void PeerPublisher::publish(const std::string &Method, const json &Body) {
  const std::string &Self = this->State.Control.members().self().Name;
  for (const MemberEntry *Entry : this->State.Control.members().counted())
    if (Entry->Record.Name != Self &&
        this->Network.IsLinked(Entry->Record.Name))
      this->Network.Send(Entry->Record.Name, Method, Body);
}

asio::awaitable<void>
PeerPublisher::tell(std::string Peer, std::string Method, json Body,
                    Clock::time_point Deadline,
                    std::shared_ptr<Acknowledgements> Open) {
  co_await this->Network.Call(std::move(Peer), std::move(Method),
                              std::move(Body), Deadline, nullptr);
  if (--Open->Missing == 0)
    Open->Done.set();
}

asio::awaitable<void>
PeerPublisher::publishAcknowledged(std::string Method, std::vector<json> Bodies,
                                   Clock::duration Most) {
  auto Open = std::make_shared<Acknowledgements>(this->Executor);
  const Clock::time_point Deadline = Clock::now() + Most;
  const std::string Self = this->State.Control.members().self().Name;
  for (const json &Body : Bodies)
    for (const MemberEntry *Entry : liveMembers(this->State, Clock::now())) {
      if (Entry->Record.Name == Self)
        continue;
      ++Open->Missing;
      asio::co_spawn(
          this->Executor,
          this->tell(Entry->Record.Name, Method, Body, Deadline, Open),
          asio::detached);
    }
  if (Open->Missing > 0)
    co_await Open->Done.waitUntil(Deadline);
}

} // namespace rr
