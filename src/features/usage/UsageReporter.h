#ifndef REDWINGRACK_USAGE_USAGEREPORTER_H
#define REDWINGRACK_USAGE_USAGEREPORTER_H

#include "telemetry/Metrics.h"
#include "usage/UsageApi.h"
#include "usage/UsageChannel.h"
#include "usage/UsageClock.h"
#include "usage/UsageCounter.h"
#include "usage/UsageDuty.h"
#include "usage/UsageSums.h"

namespace rr {

/// Reports the fleet's usage while this instance holds the lease, and sends the
/// counts of this instance to the holder otherwise.
class UsageReporter {
public:
  struct Options {
    std::string Name;
    std::string Incarnation;
    std::string PeerAddress;
    UsageSettings Settings;
  };
  struct Hooks {
    /// Whether this instance may claim the lease: it is in service, ready and
    /// in contact with the store.
    std::function<bool()> IsCandidate;
    /// Whether this instance is expected to serve callers.
    std::function<bool()> IsInService;
    /// Names of the instances in service.
    std::function<std::vector<std::string>()> InService;
    /// Reads the changes of the lease's table at once.
    std::function<void()> RefreshLease;
    /// The system clock; trueTime() by default.
    std::function<TrueTime()> SystemClock = trueTime;
  };

  /// \p Store and \p Counters must outlive the reporter.
  UsageReporter(asio::io_context &Context, Options Values,
                const TableStore &Store, UsageChannel Channel, UsageApi Api,
                Hooks Callbacks, Metrics &Counters);

  void start();
  UsageCounter &counter() { return this->Counter; }
  UsageDuty &duty() { return this->Duty; }
  const UsageDuty &duty() const { return this->Duty; }
  const UsageClock &clock() const { return this->Time; }

  /// Handles a message with counts of another instance. Errc::Unavailable if
  /// this instance does not hold the lease, Errc::Malformed for invalid ones.
  Outcome<std::string> receive(const std::string &Peer,
                               const std::string &Body);

  /// Gives the lease up after the call that is open. Called when a stop begins.
  void handOver() { this->Leaving = true; }
  /// Sends the last counts of this instance to the holder and ends all
  /// activity. Takes up to \p Limit.
  asio::awaitable<void> finish(Clock::duration Limit);
  void updateMetrics();

private:
  asio::awaitable<void> runDuty();
  /// One step of the holder or of a candidate.
  asio::awaitable<void> maintainDuty();
  /// Ends the duty of a holder that stops or cannot reach the API. Returns
  /// whether it did.
  asio::awaitable<bool> releaseIfNeeded();
  /// The last window that a holder may have closed by now, whatever its clock.
  UsageWindow lastClosableWindow() const;
  void closeWindows();
  void closeWindow(UsageWindow Window, const std::vector<std::string> &Silent);
  void leaveOut(UsageWindow First, UsageWindow Last, const char *Reason);
  void followClock();
  /// Detects that this instance did not run for some time. Times in messages
  /// that waited meanwhile say nothing about its clock.
  bool isBehind();

  asio::awaitable<void> runSending();
  asio::awaitable<void> sendReport(UsageWindow Window);
  void recordResult(UsageWindow Window, std::uint64_t Token,
                    const UsageCallResult &Result);

  asio::awaitable<void> runExchange();
  asio::awaitable<void> exchangeCounts();
  asio::awaitable<bool> sendCounts(std::string Holder, std::uint64_t Token);
  /// \p Passed is the time from the message to its answer.
  void applyAnswer(const UsageCountsAnswer &Answer, Clock::duration Passed);
  UsageCountsMessage makeMessage(std::uint64_t After);

  asio::io_context &Context;
  Options Values;
  UsageChannel Channel;
  UsageApi Api;
  Hooks Callbacks;
  Metrics &Counters;
  UsageClock Time;
  UsageCounter Counter;
  UsageDuty Duty;

  /// Of the holder.
  UsageSums Sums;
  std::uint64_t TermToken = 0;
  /// System clock of another instance minus the own one.
  struct ClockDifference {
    Clock::duration Value{};
    Clock::time_point SeenAt{};
  };
  std::map<std::string, ClockDifference> ClockDifferences;
  /// When this instance last ran, and until when messages may have waited for
  /// it; on bootTime().
  Clock::time_point LastRunAt{};
  Clock::time_point BehindUntil{};
  /// The instances that get a copy of its own counts, and when they are chosen
  /// again.
  std::vector<std::string> CopyReceivers;
  Clock::time_point NextReceiversAt{};
  /// The counts of the last other holder, as far as it sent a copy.
  std::optional<UsageCountsMessage> HolderCounts;

  /// Of the sending.
  bool Calling = false;
  Clock::time_point NextCallAt{};
  Clock::duration RetryDelay{};
  /// Calls for the present window.
  int Calls = 0;
  /// When the API last answered, or when there was last nothing to send.
  Clock::time_point ApiAnsweredAt{};
  /// Until then the other candidates go first.
  Clock::time_point ApiDoubtedUntil{};

  /// Of the exchange with the holder.
  std::uint64_t Sequence = 0;
  std::uint64_t OwnChange = 0;
  /// The holder with this token has all changes up to AckedChange.
  std::uint64_t AckedToken = 0;
  std::uint64_t AckedChange = 0;
  std::uint64_t TriedToken = 0;
  Clock::time_point NextCountsAt{};
  bool WasLinked = false;

  std::uint64_t LoggedLate = 0;
  Clock::time_point NextLateLogAt{};
  bool Leaving = false;
  bool Stopped = false;
};

} // namespace rr

#endif // REDWINGRACK_USAGE_USAGEREPORTER_H
