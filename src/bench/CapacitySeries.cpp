#include "bench/CapacitySeries.h"

#include "bench/CapacityMeter.h"

#include <cstdio>
#include <ctime>

namespace rr {

namespace {

double cpuOf(const CapacityCost &Cost) { return Cost.Cpu.count(); }
double wireOf(const CapacityCost &Cost) {
  return static_cast<double>(Cost.WireBytes);
}
double keptOf(const CapacityCost &Cost) {
  return static_cast<double>(Cost.KeptBytes);
}
double peakOf(const CapacityCost &Cost) {
  return static_cast<double>(Cost.PeakBytes);
}

} // namespace

std::chrono::duration<double, std::micro> threadCpu() {
  timespec Now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Now);
  return std::chrono::seconds(Now.tv_sec) +
         std::chrono::nanoseconds(Now.tv_nsec);
}

double CapacitySeries::slopeOf(double (*ValueOf)(const CapacityCost &)) const {
  double MeanSize = 0;
  double MeanValue = 0;
  const auto Count = static_cast<double>(this->Points.size());
  for (const auto &[Size, Cost] : this->Points) {
    MeanSize += static_cast<double>(Size) / Count;
    MeanValue += ValueOf(Cost) / Count;
  }
  double Products = 0;
  double Squares = 0;
  for (const auto &[Size, Cost] : this->Points) {
    const double Distance = static_cast<double>(Size) - MeanSize;
    Products += Distance * (ValueOf(Cost) - MeanValue);
    Squares += Distance * Distance;
  }
  return Squares > 0 ? Products / Squares : 0;
}

void CapacitySeries::print() const {
  for (const auto &[Size, Cost] : this->Points)
    std::printf("%-42s %8zu %-10s %12.2f %11lld %11lld %11lld\n",
                this->Operation.c_str(), Size, this->Unit.c_str(), cpuOf(Cost),
                static_cast<long long>(Cost.WireBytes),
                static_cast<long long>(Cost.KeptBytes),
                static_cast<long long>(Cost.PeakBytes));
  std::printf("%-42s %8s %-10s %12.4f %11.2f %11.2f %11.2f\n",
              this->Operation.c_str(), "per", this->Unit.c_str(),
              this->slopeOf(cpuOf), this->slopeOf(wireOf),
              this->slopeOf(keptOf), this->slopeOf(peakOf));
  std::fflush(stdout);
}

void printCapacityHead() {
  std::printf("%-42s %8s %-10s %12s %11s %11s %11s\n", "operation", "size",
              "unit", "CPU us", "wire B", "kept B", "peak B");
}

} // namespace rr
