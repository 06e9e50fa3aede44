#ifndef REDWINGRACK_USAGE_FAKEUSAGEAPI_H
#define REDWINGRACK_USAGE_FAKEUSAGEAPI_H

#include "usage/UsageApi.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace rr {

/// The receiver of usage reports. It accepts every report, as the platform
/// does, and notes each one that no instance may send.
class FakeUsageApi {
public:
  struct Call {
    Clock::time_point At{};
    /// The instance that sent it, whatever name it gives.
    std::string Machine;
    UsageReport Report;
  };

  explicit FakeUsageApi(Clock::duration LeaseDuration) : Lease(LeaseDuration) {}

  void receive(const std::string &Machine, const UsageReport &Report);

  const std::vector<Call> &calls() const { return this->Calls; }
  const std::map<UsageWindow, UsageCounts> &reports() const {
    return this->Reports;
  }
  const std::vector<std::string> &violations() const {
    return this->Violations;
  }

private:
  /// Whether another machine acted since \p Machine last did, within the
  /// duration of a lease.
  bool returnsTooEarly(const std::string &Machine, Clock::time_point Now) const;

  Clock::duration Lease;
  std::vector<Call> Calls;
  std::map<UsageWindow, UsageCounts> Reports;
  std::map<std::uint64_t, std::string> MachineByToken;
  std::vector<std::string> Violations;
};

} // namespace rr

#endif // REDWINGRACK_USAGE_FAKEUSAGEAPI_H
