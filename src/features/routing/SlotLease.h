#ifndef REDWINGRACK_ROUTING_SLOTLEASE_H
#define REDWINGRACK_ROUTING_SLOTLEASE_H

#include "base/Clock.h"
#include "routing/RequestOutcome.h"

#include <memory>

namespace rr {

class ServerTable;
struct ServerState;

/// One slot of a backend server, held while a request runs there. The slot is
/// free again after finish(), or when the lease is destroyed (outcome
/// Abandoned). The table must outlive the lease.
class SlotLease {
public:
  /// A lease without a server.
  SlotLease() = default;
  SlotLease(ServerTable &Table, std::shared_ptr<ServerState> Server, bool Trial,
            Clock::time_point Now);
  SlotLease(SlotLease &&Other) noexcept;
  SlotLease &operator=(SlotLease &&Other) noexcept;
  ~SlotLease();

  explicit operator bool() const { return this->Server != nullptr; }
  const ServerState &server() const { return *this->Server; }
  /// Whether this request is the single trial of an ejected server.
  bool isTrial() const { return this->Trial; }

  /// Frees the slot and notes how the request ended.
  void finish(RequestOutcome Outcome, Clock::time_point Now);

private:
  ServerTable *Table = nullptr;
  std::shared_ptr<ServerState> Server;
  bool Trial = false;
  Clock::time_point Started{};
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_SLOTLEASE_H
