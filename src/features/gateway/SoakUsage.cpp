#include "base/Timer.h"
#include "gateway/SoakFleet.h"

#include <algorithm>
#include <cmath>

namespace rr {

namespace {

constexpr Clock::duration Latency = std::chrono::milliseconds(20);
/// Share of the calls whose answers are lost, and of those that are refused.
constexpr double LostShare = 0.1;
constexpr double RefusedShare = 0.1;
constexpr Clock::duration DueTime = std::chrono::seconds(10);
/// Time after the end of the faults until counts are complete: a change of the
/// holder, and the end of requests that began during the faults.
constexpr Clock::duration SettleTime = std::chrono::seconds(8);
constexpr Clock::duration StepTime = std::chrono::milliseconds(10);
/// Time between two disturbances of the holder: it changes within this time.
constexpr Clock::duration UsageFaultPeriod = std::chrono::seconds(6);
/// Accepted difference of a count.
constexpr double MaxDifference = 0.05;

} // namespace

UsageApi SoakFleet::usageApiFor(const Node &Item) {
  return [this,
          &Item](UsageReport Report,
                 UsageCallOptions Options) -> asio::awaitable<UsageCallResult> {
    co_await sleepFor(Latency);
    if (Clock::now() < this->UsageApiDownUntil) {
      co_await sleepFor(Options.Deadline - Clock::now());
      co_return UsageCallResult{0, make_error_code(Errc::Timeout)};
    }
    if (!Options.MayWrite())
      co_return UsageCallResult{0, make_error_code(Errc::Cancelled)};
    const bool Trouble = Clock::now() < this->UsageApiTroubleUntil;
    if ((Trouble && !this->UsageCallsLost) ||
        (this->ServersFail && this->chance(RefusedShare)))
      co_return UsageCallResult{503, {}};
    this->UsageReports.receive(Item.Name, Report);
    if (Trouble || (this->ServersFail && this->chance(LostShare))) {
      co_await sleepFor(Options.Deadline - Clock::now());
      co_return UsageCallResult{0, make_error_code(Errc::Timeout)};
    }
    co_await sleepFor(Latency);
    co_return UsageCallResult{200, {}};
  };
}

void SoakFleet::disturbUsageHolder() {
  const auto Found = std::find_if(
      this->Nodes.begin(), this->Nodes.end(),
      [](const std::unique_ptr<Node> &Item) {
        return Item->Instance && Item->Instance->usage()->duty().isHeld();
      });
  if (Found == this->Nodes.end())
    return;
  Node &Holder = **Found;
  const Clock::duration Time = this->randomDuration(
      std::chrono::milliseconds(2000), std::chrono::milliseconds(6000));
  switch (this->pickIndex(4)) {
  case 0:
    this->logFault(Holder.Name + ", which reports usage, is killed");
    this->killNode(Holder, Time / 2);
    break;
  case 1: {
    // The next holder may lack counts that were reported already.
    this->logFault(Holder.Name + ", which reports usage, and another are "
                                 "killed");
    this->killNode(Holder, Time / 2);
    Node &Other = *this->Nodes[this->pickIndex(this->Nodes.size())];
    if (Other.Instance)
      this->killNode(Other, Time / 2);
    break;
  }
  case 2:
    this->logFault(Holder.Name + ", which reports usage, is frozen");
    Holder.FrozenUntil = Clock::now() + Time;
    this->extendDisturbance(Holder, Time);
    break;
  default:
    this->disconnectFromStore(Holder, Time);
    break;
  }
}

void SoakFleet::runWithUsageFaults(Clock::duration Time) {
  const Clock::time_point End = Clock::now() + Time;
  while (Clock::now() < End) {
    // The API refuses reports, or takes them without an answer, so that some
    // are open when the holder is disturbed.
    this->UsageCallsLost = this->chance(0.5);
    this->UsageApiTroubleUntil = Clock::now() + UsageFaultPeriod;
    const auto Run = [this](Clock::duration Length) {
      for (Clock::duration Passed{0}; Passed < Length; Passed += StepTime) {
        this->sendRequests();
        this->step();
      }
    };
    const Clock::duration Before = this->randomDuration(
        std::chrono::milliseconds(500), std::chrono::milliseconds(5500));
    Run(Before);
    this->disturbUsageHolder();
    Run(UsageFaultPeriod - Before);
    // A holder is found and reports until the next fault.
    Run(UsageFaultPeriod);
  }
}

void SoakFleet::checkUsage() {
  for (const std::string &Text : this->UsageReports.violations())
    this->reportViolation("usage: " + Text);
  if (this->CalmSince == Clock::time_point::max())
    return;
  const auto TimeOf = [](Clock::time_point Time) {
    return TrueTime(Time.time_since_epoch());
  };
  const UsageWindow First =
      windowAt(TimeOf(this->CalmSince + SettleTime), UsageWindowLength) + 1;
  for (UsageWindow Window = First;
       windowEnd(Window, UsageWindowLength) + DueTime < trueTime(); ++Window) {
    const auto Found = this->UsageReports.reports().find(Window);
    if (Found == this->UsageReports.reports().end()) {
      this->reportViolation("usage: no report of window " +
                            std::to_string(Window));
      continue;
    }
    double Reported = 0;
    for (const auto &Item : Found->second)
      Reported += double(Item.second);
    const auto Runs = double(this->UsageRuns[Window]);
    if (std::abs(Reported - Runs) > MaxDifference * Runs)
      this->UsageGaps.push_back("window " + std::to_string(Window) + " had " +
                                std::to_string(Runs) + " requests, and " +
                                std::to_string(Reported) + " were reported");
  }
}

} // namespace rr
