#ifndef REDWINGRACK_BENCH_STOPWATCH_H
#define REDWINGRACK_BENCH_STOPWATCH_H

#include <chrono>

namespace rr {

/// Measures real time, also while rr::Clock is paused.
class Stopwatch {
public:
  std::chrono::duration<double> elapsed() const {
    return std::chrono::steady_clock::now() - this->Started;
  }

private:
  std::chrono::steady_clock::time_point Started =
      std::chrono::steady_clock::now();
};

} // namespace rr

#endif // REDWINGRACK_BENCH_STOPWATCH_H
