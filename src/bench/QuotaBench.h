#ifndef REDWINGRACK_BENCH_QUOTABENCH_H
#define REDWINGRACK_BENCH_QUOTABENCH_H

#include <string>
#include <vector>

namespace rr {

/// Prints how the instances of `steer` hold rates, by fleet size and load.
/// Arguments: --seed N, --seconds N.
int runQuotaBench(const std::vector<std::string> &Arguments);

} // namespace rr

#endif // REDWINGRACK_BENCH_QUOTABENCH_H
