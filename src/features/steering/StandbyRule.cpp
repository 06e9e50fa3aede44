#include "steering/StandbyRule.h"

#include "steering/StableHash.h"

namespace rr {

namespace {

/// Enough that few of the standbys of a zone share a slot.
constexpr std::uint64_t Slots = 8;
/// Time in which a standby that has gone into service writes its row and the
/// next one reads it.
constexpr Clock::duration SlotTime = std::chrono::milliseconds(150);

} // namespace

bool isStandbyNeeded(const ZoneLoad &Load) {
  return Load.Helping < Load.Overloaded;
}

StandbyTurn::StandbyTurn(const std::string &Name)
    : Delay(SlotTime * Clock::rep(stableHash(Name) % Slots)) {}

bool StandbyTurn::update(bool Needed, Clock::time_point Now) {
  if (!Needed)
    this->NeededSince.reset();
  else if (!this->NeededSince)
    this->NeededSince = Now;
  return Needed && Now - *this->NeededSince >= this->Delay;
}

} // namespace rr
