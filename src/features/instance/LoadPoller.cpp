#include "instance/LoadPoller.h"

#include "base/Timer.h"
#include "instance/BackendNetwork.h"
#include "instance/InstanceState.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <utility>

namespace rr {

namespace {

// Longer than the time-out of one question, so that a server has at most one
// at a time.
constexpr std::chrono::seconds AskPeriod{1};
constexpr std::chrono::minutes MissingEndpointPause{1};

} // namespace

LoadPoller::LoadPoller(InstanceState &State, const BackendNetwork &Servers,
                       asio::any_io_executor Executor)
    : State(State), Servers(Servers), Executor(std::move(Executor)) {}

asio::awaitable<void> LoadPoller::ask(BackendServer Server) {
  const auto Load = co_await this->Servers.Load(Server);
  const Clock::time_point Now = Clock::now();
  if (!Load && Load.error() == Errc::NotFound)
    this->NextAttempt[Server.Name] = Now + MissingEndpointPause;
  if (Load && this->State.Routing.Routes)
    this->State.Routing.Routes->servers().reportLoad(
        Server.Name,
        static_cast<double>(Load->Running) / static_cast<double>(Load->Slots),
        Now);
}

asio::awaitable<void> LoadPoller::run() {
  if (!this->Servers.Load)
    co_return;
  while (!this->Stopping) {
    const Clock::time_point Now = Clock::now();
    std::erase_if(this->NextAttempt,
                  [&](const auto &Item) { return Item.second <= Now; });
    if (this->State.Routing.Routes)
      for (const ServerPtr &Item : this->State.Routing.Routes->servers().all())
        if (Item->Owned && !this->NextAttempt.contains(Item->Config.Name))
          asio::co_spawn(this->Executor, this->ask(Item->Config),
                         asio::detached);
    co_await sleepFor(AskPeriod);
  }
}

} // namespace rr
