#ifndef REDWINGRACK_PLANS_PLANRECORD_H
#define REDWINGRACK_PLANS_PLANRECORD_H

#include "plans/Plan.h"
#include "platform/RowWrite.h"

#include <cstdint>

namespace rr {

/// A plan and the version of the row that it was read from.
struct PlanRecord {
  Plan Current;
  std::uint64_t RowVersion = RowWrite::Absent;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_PLANRECORD_H
