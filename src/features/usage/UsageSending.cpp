#include "base/Timer.h"
#include "logging/EventLog.h"
#include "tables/BootTime.h"
#include "usage/UsageReporter.h"

#include <algorithm>

namespace rr {

namespace {

constexpr Clock::duration Tick = std::chrono::milliseconds(50);
/// While this instance does not hold the lease.
constexpr Clock::duration IdleTick = std::chrono::milliseconds(200);
/// As long as the time before the end of the lease in which nothing is sent, so
/// that no call outlives the lease.
constexpr Clock::duration CallTimeout = std::chrono::seconds(1);
constexpr Clock::duration MinRetryDelay = std::chrono::milliseconds(300);
constexpr Clock::duration MaxRetryDelay = std::chrono::seconds(2);
/// Fraction of the accepted calls that reports use, so that a new holder has
/// room beside one that just ended.
constexpr double CallShare = 0.5;

std::string ageText(TrueTime Now, TrueTime Then) {
  return std::to_string((Now - Then) / std::chrono::milliseconds(1));
}

} // namespace

asio::awaitable<void> UsageReporter::runSending() {
  while (!this->Stopped) {
    co_await sleepFor(this->Duty.isHeld() ? Tick : IdleTick);
    this->Duty.expire();
    const auto Next = this->Duty.isLoaded() ? this->Duty.backlog().nextToSend()
                                            : std::nullopt;
    if (!Next) {
      this->ApiAnsweredAt = Clock::now();
      continue;
    }
    if (!this->Leaving && Clock::now() >= this->NextCallAt &&
        this->Duty.mayReport(this->Duty.token()))
      co_await this->sendReport(*Next);
  }
}

asio::awaitable<void> UsageReporter::sendReport(UsageWindow Window) {
  const std::uint64_t Token = this->Duty.token();
  UsageReport Report{Window, this->Duty.backlog().report(Window).Counts,
                     this->Values.Name, Token};
  UsageCallOptions Call;
  Call.Deadline = Clock::now() + CallTimeout;
  Call.MayWrite = [this, Token] { return this->Duty.mayReport(Token); };
  this->Calling = true;
  ++this->Calls;
  const UsageCallResult Result =
      co_await this->Api(std::move(Report), std::move(Call));
  this->Calling = false;
  this->recordResult(Window, Token, Result);
}

void UsageReporter::recordResult(UsageWindow Window, std::uint64_t Token,
                                 const UsageCallResult &Result) {
  const Clock::time_point Now = Clock::now();
  this->Counters.add(Metric::UsageCalls,
                     {{"result", Result.Status ? std::to_string(Result.Status)
                                               : Result.Error.message()}});
  const UsageSettings &Settings = this->Values.Settings;
  const Clock::duration MinGap =
      Settings.CallsPerSecond > 0
          ? std::chrono::duration_cast<Clock::duration>(
                std::chrono::duration<double>(
                    1 / (Settings.CallsPerSecond * CallShare)))
          : Clock::duration::zero();
  this->NextCallAt = Now + MinGap;
  // Whoever holds the lease now sends the same report.
  if (this->Duty.token() != Token)
    return;
  if (Result.Status)
    this->ApiAnsweredAt = Now;
  if (Result.Status == 200) {
    this->Duty.backlog().accept(Window);
    logEvent(Event::UsageWindowAccepted,
             {{"window", std::to_string(Window)},
              {"calls", std::to_string(this->Calls)},
              {"age_ms",
               ageText(this->Time.now(), windowEnd(Window, Settings.Window))}});
    this->Counters.add(Metric::UsageWindows, {{"result", "accepted"}});
    this->Calls = 0;
    this->RetryDelay = Clock::duration::zero();
    return;
  }
  this->RetryDelay =
      std::clamp(this->RetryDelay * 2, MinRetryDelay, MaxRetryDelay);
  this->NextCallAt = std::max(this->NextCallAt, Now + this->RetryDelay);
  logEvent(Event::UsageCallFailed,
           {{"window", std::to_string(Window)},
            {"calls", std::to_string(this->Calls)},
            {"status", std::to_string(Result.Status)},
            {"error", Result.Error ? Result.Error.message() : ""}});
}

} // namespace rr
