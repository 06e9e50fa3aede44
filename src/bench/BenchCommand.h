#ifndef REDWINGRACK_BENCH_BENCHCOMMAND_H
#define REDWINGRACK_BENCH_BENCHCOMMAND_H

#include <string>
#include <vector>

namespace rr {

/// A subcommand of redwingrack-bench.
struct BenchCommand {
  const char *Name;
  const char *Summary;
  /// Returns the exit status.
  int (*Run)(const std::vector<std::string> &Arguments);
};

} // namespace rr

#endif // REDWINGRACK_BENCH_BENCHCOMMAND_H
