#ifndef REDWINGRACK_BENCH_BENCHCOMMANDS_H
#define REDWINGRACK_BENCH_BENCHCOMMANDS_H

#include "bench/BenchCommand.h"

#include <span>

namespace rr {

std::span<const BenchCommand> benchCommands();

} // namespace rr

#endif // REDWINGRACK_BENCH_BENCHCOMMANDS_H
