#include "gateway/FleetTestBed.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const std::string CrashingBody = "crash";
constexpr std::size_t InstanceCount = 4;
/// Crashes after which the request must be stopped.
constexpr std::size_t MaxCrashes = 3;
/// Time for the instances to learn of the last crash.
constexpr Clock::duration ContactTime = 3s;
/// Retries that may reach a server after that time.
constexpr std::ptrdiff_t MaxLateRetries = 3;

struct CrashBed : FleetTestBed {
  CrashBed() : FleetTestBed(InstanceCount) {
    for (int Number = 0; Number < 6; ++Number)
      this->addServer("s" + std::to_string(Number));
    this->CrashingBody = ::CrashingBody;
    this->advance(2s);
  }

  /// Crashes of which the request was sent later than \p Delay after the last
  /// permitted one.
  std::ptrdiff_t lateCrashes(Clock::duration Delay) const {
    if (this->Crashes.size() < MaxCrashes)
      return 0;
    const Clock::time_point From = this->Crashes[MaxCrashes - 1] + Delay;
    return std::count_if(this->Crashes.begin(), this->Crashes.end(),
                         [&](Clock::time_point Time) { return Time > From; });
  }

  /// Sends the crashing request \p Count times, to one instance after the
  /// other.
  void sendCrashing(const std::string &Path, int Count,
                    Clock::duration Interval) {
    for (int Index = 0; Index < Count; ++Index) {
      this->request(std::size_t(Index) % this->Instances.size(), Path,
                    ::CrashingBody);
      this->advance(Interval);
    }
  }
};

} // namespace

// Guards against a request that crashes servers one after the other because
// it returns with another id, at another instance.
TEST_CASE("A request that crashed three servers is stopped on all instances",
          "[.known-red]") {
  CrashBed Bed;
  const std::string Path = GENERATE("/order/x", "/safe/x");
  Bed.sendCrashing(Path, 40, 400ms);
  CHECK(Bed.Crashes.size() >= MaxCrashes);
  CHECK(Bed.lateCrashes(ContactTime) <= MaxLateRetries);
}
