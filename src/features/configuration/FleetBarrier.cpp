#include "configuration/FleetBarrier.h"

#include "membership/MemberTable.h"
#include "membership/Timing.h"

namespace rr {

bool FleetBarrier::isInForce(const MemberTable &Members,
                             Clock::time_point Now) const {
  return Now >= this->VisibleAt + InForceDelay ||
         this->unacknowledged(Members).empty();
}

std::vector<std::string>
FleetBarrier::unacknowledged(const MemberTable &Members) const {
  std::vector<std::string> Result;
  for (const MemberEntry *Entry : Members.counted())
    if (!Entry->Acknowledged.covers(this->Target))
      Result.push_back(Entry->Record.Name);
  return Result;
}

} // namespace rr
