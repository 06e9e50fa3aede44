#ifndef REDWINGRACK_ROUTING_CONNECTIONLEASE_H
#define REDWINGRACK_ROUTING_CONNECTIONLEASE_H

#include "routing/ServerState.h"

#include <memory>
#include <utility>

namespace rr {

/// One connection to a backend server, idle or in use, counted against the
/// server's limit until the lease is destroyed.
class ConnectionLease {
public:
  /// A lease without a connection when the limit is reached.
  explicit ConnectionLease(std::shared_ptr<ServerState> Wanted) {
    if (!Wanted || Wanted->OpenConnections >= Wanted->Config.Connections)
      return;
    ++Wanted->OpenConnections;
    this->Server = std::move(Wanted);
  }
  ConnectionLease(ConnectionLease &&Other) noexcept = default;
  ConnectionLease &operator=(ConnectionLease &&Other) noexcept {
    std::swap(this->Server, Other.Server);
    return *this;
  }
  ~ConnectionLease() {
    if (this->Server)
      --this->Server->OpenConnections;
  }

  explicit operator bool() const { return this->Server != nullptr; }

private:
  std::shared_ptr<ServerState> Server;
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_CONNECTIONLEASE_H
