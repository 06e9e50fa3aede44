#ifndef REDWINGRACK_BENCH_LIMITSBENCH_H
#define REDWINGRACK_BENCH_LIMITSBENCH_H

#include <string>
#include <vector>

namespace rr {

/// Simulates rate limiting policies and the fair queue on the paused clock and
/// prints figures. Arguments: `--seed N`, `--seconds N`, `--between-ms N`
/// (delay between regions). Returns 0, or 1 on wrong arguments or when the
/// conserved shares admitted too much.
int runLimitsBench(const std::vector<std::string> &Arguments);

} // namespace rr

#endif // REDWINGRACK_BENCH_LIMITSBENCH_H
