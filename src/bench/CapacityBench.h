#ifndef REDWINGRACK_BENCH_CAPACITYBENCH_H
#define REDWINGRACK_BENCH_CAPACITYBENCH_H

#include <string>
#include <vector>

namespace rr {

/// Prints what control costs an instance, at several sizes of the fleet.
int runCapacityBench(const std::vector<std::string> &Arguments);

/// The parts of the table. Each prints its series.
void measureLookupCapacity();
void measureConfigCapacity();
void measureKeyCapacity();
void measureMembershipCapacity();
void measureReportCapacity();
void measureShareCapacity();
void measureRoutingCapacity();

} // namespace rr

#endif // REDWINGRACK_BENCH_CAPACITYBENCH_H
