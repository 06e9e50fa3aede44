#include "bench/CapacityBench.h"

#include "bench/CapacitySeries.h"

#include <cstdio>

namespace rr {

int runCapacityBench(const std::vector<std::string> &) {
  printCapacityHead();
  measureLookupCapacity();
  measureConfigCapacity();
  measureKeyCapacity();
  measureMembershipCapacity();
  measureReportCapacity();
  measureShareCapacity();
  measureRoutingCapacity();
  std::puts("CPU: of the thread, smallest mean of three measurements. wire: "
            "bytes of the message (CBOR) or document (JSON).\nkept, peak: heap "
            "bytes of the result, and at most in between. per: least-squares "
            "slope per unit.");
  return 0;
}

} // namespace rr
