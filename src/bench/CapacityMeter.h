#ifndef REDWINGRACK_BENCH_CAPACITYMETER_H
#define REDWINGRACK_BENCH_CAPACITYMETER_H

#include "bench/AllocationCounter.h"
#include "bench/CapacityCost.h"

#include <algorithm>

namespace rr {

/// CPU time of the calling thread since its start.
std::chrono::duration<double, std::micro> threadCpu();

/// Smallest mean of three measurements, each of at least 20 ms: other load on
/// the machine only adds to CPU time.
template <typename Function>
std::chrono::duration<double, std::micro> measureCpu(Function Work) {
  constexpr std::chrono::duration<double, std::micro> Least{20000};
  auto Best = std::chrono::duration<double, std::micro>::max();
  for (int Round = 0; Round < 3; ++Round) {
    int Runs = 0;
    const auto Start = threadCpu();
    auto Spent = Start - Start;
    while (Spent < Least) {
      Work();
      ++Runs;
      Spent = threadCpu() - Start;
    }
    Best = std::min(Best, Spent / Runs);
  }
  return Best;
}

/// CPU time and memory of \p Work; KeptBytes is the memory of its result.
template <typename Function> CapacityCost measureCost(Function Work) {
  CapacityCost Result;
  {
    const AllocationCounter Counter;
    const auto Kept = Work();
    static_cast<void>(Kept);
    Result.KeptBytes = Counter.keptBytes();
    Result.PeakBytes = Counter.peakBytes();
  }
  Result.Cpu = measureCpu([&] { static_cast<void>(Work()); });
  return Result;
}

} // namespace rr

#endif // REDWINGRACK_BENCH_CAPACITYMETER_H
