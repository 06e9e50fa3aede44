#ifndef REDWINGRACK_BENCH_ALLOCATIONCOUNTER_H
#define REDWINGRACK_BENCH_ALLOCATIONCOUNTER_H

#include <cstdint>

namespace rr {

/// Counts the heap bytes of operator new and delete while it exists. The
/// program has one thread; counters do not nest.
class AllocationCounter {
public:
  AllocationCounter();
  ~AllocationCounter();
  AllocationCounter(const AllocationCounter &) = delete;
  AllocationCounter &operator=(const AllocationCounter &) = delete;

  /// Bytes allocated and not freed since the start.
  std::int64_t keptBytes() const;
  /// Greatest value of keptBytes().
  std::int64_t peakBytes() const;
};

} // namespace rr

#endif // REDWINGRACK_BENCH_ALLOCATIONCOUNTER_H
