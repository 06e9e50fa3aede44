#include "tables/TableRows.h"

#include "tables/BootTime.h"

namespace rr {

Clock::time_point completeAsOf(const TableRows &Rows, Clock::time_point Start,
                               Clock::duration Wait) {
  if (Rows.Relayed)
    return Rows.AsOf;
  return Rows.Rows.empty() && bootTime() - Start >= Wait ? Start + Wait : Start;
}

} // namespace rr
