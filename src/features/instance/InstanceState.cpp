#include "instance/InstanceState.h"

#include "model/FleetConfig.h"

#include <utility>

namespace rr {

InstanceState::InstanceState(const asio::any_io_executor &Executor,
                             const Member &Self, const Platform &Store,
                             ControlNode::PeerCall Call, std::uint64_t Seed)
    : Control(Executor, Self, Store, std::move(Call)),
      Shares({Self.Name, Self.Incarnation}, Clock::now()),
      Routing(Self.Name, Seed) {}

void refreshProof(InstanceState &State, Clock::time_point Now) {
  State.Shares.renewProof(State.Shares.epoch(), State.Control.validUntil(),
                          Now);
}

const char *nameOf(MemberState State) {
  switch (State) {
  case MemberState::Live:
    return "live";
  case MemberState::Leaving:
    return "leaving";
  case MemberState::Left:
    return "left";
  case MemberState::Ended:
    return "ended";
  case MemberState::Lost:
    return "lost";
  }
  return "live";
}

bool isFresh(const InstanceState &State, Clock::time_point Now) {
  return Now <= State.Control.validUntil();
}

Outcome<void> adoptShares(InstanceState &State, const ShareAllocation &Epoch,
                          Clock::time_point Now) {
  if (Epoch.Epoch <= State.Shares.epoch())
    return {};
  auto Adopted = State.Shares.adopt(Epoch, Now);
  if (!Adopted)
    return Adopted;
  State.Allocation = Epoch;
  State.Control.setShareEpoch(Epoch.Epoch);
  return {};
}

std::shared_ptr<const FleetConfig> configOf(const InstanceState &State) {
  return State.Control.config().current().Config;
}

std::string regionOf(const InstanceState &State, const std::string &Zone) {
  const auto Config = configOf(State);
  return Config ? regionOfZone(*Config, Zone) : std::string();
}

std::vector<const MemberEntry *> liveMembers(InstanceState &State,
                                             Clock::time_point Now) {
  std::vector<const MemberEntry *> Result;
  MemberTable &Members = State.Control.members();
  for (const MemberEntry *Entry : Members.counted())
    if (Members.isLive(*Entry, Now))
      Result.push_back(Entry);
  return Result;
}

} // namespace rr
