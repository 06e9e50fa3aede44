#ifndef REDWINGRACK_BENCH_CAPACITYCOST_H
#define REDWINGRACK_BENCH_CAPACITYCOST_H

#include <chrono>
#include <cstdint>

namespace rr {

/// What one operation costs at one size. Zero: not measured.
struct CapacityCost {
  /// Of the calling thread.
  std::chrono::duration<double, std::micro> Cpu{0};
  /// Bytes of the message or document.
  std::int64_t WireBytes = 0;
  /// Heap bytes that the result keeps.
  std::int64_t KeptBytes = 0;
  /// Greatest use of the heap in between.
  std::int64_t PeakBytes = 0;
};

} // namespace rr

#endif // REDWINGRACK_BENCH_CAPACITYCOST_H
