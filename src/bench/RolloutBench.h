#ifndef REDWINGRACK_BENCH_ROLLOUTBENCH_H
#define REDWINGRACK_BENCH_ROLLOUTBENCH_H

#include <string>
#include <vector>

namespace rr {

/// Measures rollouts, shifts and drains in simulation on fixed seeds and
/// prints the figures. Arguments: the number of seeds (40 when missing), and A
/// or B for one deployment only.
/// Returns the exit code of the process.
int runRolloutBench(const std::vector<std::string> &Arguments);

} // namespace rr

#endif // REDWINGRACK_BENCH_ROLLOUTBENCH_H
