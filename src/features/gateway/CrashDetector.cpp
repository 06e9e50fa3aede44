#include "gateway/CrashDetector.h"

#include "http1/HttpConnectionPool.h"
#include "logging/EventLog.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include <utility>

namespace rr {

CrashDetector::CrashDetector(asio::io_context &Io, HttpConnectionPool &Pool)
    : Context(Io), Links(Pool) {}

void CrashDetector::recordLoss(const BackendPtr &Server, LostRequest Lost,
                               Clock::duration ConnectTime) {
  const Clock::time_point Deadline = Lost.LostAt + ConnectTime;
  auto &OfServer = this->LostByServer[Server];
  OfServer.push_back(std::move(Lost));
  if (OfServer.size() == 1)
    asio::co_spawn(this->Context, this->check(Server, Deadline),
                   asio::detached);
}

asio::awaitable<void> CrashDetector::check(BackendPtr Server,
                                           Clock::time_point Deadline) {
  const auto Error =
      co_await this->Links.tryConnect(Server->Record.Address, Deadline);
  const auto Found = this->LostByServer.find(Server);
  const std::vector<LostRequest> Lost = std::move(Found->second);
  this->LostByServer.erase(Found);
  // A server that leaves ends also if requests still run.
  if (!Error || Server->Record.Draining || Server->Removed)
    co_return;
  for (const LostRequest &Item : Lost)
    logEvent(Event::RequestLostInCrash, {{"request", Item.Id},
                                         {"server", Server->Record.Id},
                                         {"error", Error.message()},
                                         {"fingerprint", Item.Fingerprint}});
  if (this->Crashed)
    this->Crashed(*Server, Lost);
}

} // namespace rr
