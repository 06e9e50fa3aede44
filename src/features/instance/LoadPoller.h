#ifndef REDWINGRACK_INSTANCE_LOADPOLLER_H
#define REDWINGRACK_INSTANCE_LOADPOLLER_H

#include "base/Clock.h"
#include "model/BackendServer.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <map>
#include <string>

namespace rr {

struct BackendNetwork;
struct InstanceState;

/// Asks the owned backend servers for their load once a second and passes the
/// answers on to the choice of a server.
class LoadPoller {
public:
  LoadPoller(InstanceState &State, const BackendNetwork &Servers,
             asio::any_io_executor Executor);

  asio::awaitable<void> run();
  void stop() { this->Stopping = true; }

private:
  asio::awaitable<void> ask(BackendServer Server);

  InstanceState &State;
  const BackendNetwork &Servers;
  asio::any_io_executor Executor;
  /// Servers without a load endpoint, with the time of the next attempt.
  std::map<std::string, Clock::time_point> NextAttempt;
  bool Stopping = false;
};

} // namespace rr

#endif // REDWINGRACK_INSTANCE_LOADPOLLER_H
