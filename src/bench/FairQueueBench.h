#ifndef REDWINGRACK_BENCH_FAIRQUEUEBENCH_H
#define REDWINGRACK_BENCH_FAIRQUEUEBENCH_H

#include <cstdint>

namespace rr {

/// Prints the p99 of the other workspaces before and while one sends ten times
/// its rate, with and without the rate limit and the fair queue.
void runFairQueueBench(std::uint64_t Seed);

} // namespace rr

#endif // REDWINGRACK_BENCH_FAIRQUEUEBENCH_H
