#include "routing/SlotLease.h"

#include "routing/ServerTable.h"

#include <utility>

namespace rr {

SlotLease::SlotLease(ServerTable &Table, std::shared_ptr<ServerState> Server,
                     bool Trial, Clock::time_point Now)
    : Table(&Table), Server(std::move(Server)), Trial(Trial), Started(Now) {}

SlotLease::SlotLease(SlotLease &&Other) noexcept
    : Table(Other.Table), Server(std::move(Other.Server)), Trial(Other.Trial),
      Started(Other.Started) {}

SlotLease &SlotLease::operator=(SlotLease &&Other) noexcept {
  if (this != &Other) {
    if (this->Server)
      this->finish(RequestOutcome::Abandoned, Clock::now());
    this->Table = Other.Table;
    this->Server = std::move(Other.Server);
    this->Trial = Other.Trial;
    this->Started = Other.Started;
  }
  return *this;
}

SlotLease::~SlotLease() {
  if (this->Server)
    this->finish(RequestOutcome::Abandoned, Clock::now());
}

void SlotLease::finish(RequestOutcome Outcome, Clock::time_point Now) {
  if (const auto Held = std::exchange(this->Server, nullptr))
    this->Table->release(*Held, Outcome, this->Trial, Now - this->Started, Now);
}

} // namespace rr
