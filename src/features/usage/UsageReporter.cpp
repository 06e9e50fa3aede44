#include "usage/UsageReporter.h"

#include "base/Timer.h"
#include "logging/EventLog.h"
#include "tables/BootTime.h"
#include "usage/ClockCorrection.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include <algorithm>

namespace rr {

namespace {

/// Short against the second before the end of the lease in which nothing is
/// sent.
constexpr Clock::duration Tick = std::chrono::milliseconds(100);
/// Part of the due time after which a window is closed: the longest usual
/// request and the exchange of counts need one half, sending and one change of
/// the holder the other.
constexpr double CloseFraction = 0.5;
/// The same while counts of some instances are missing.
constexpr double LatestCloseFraction = 0.7;
/// Time after a claim for the counts of all instances to arrive.
constexpr Clock::duration GatherTime = std::chrono::seconds(2);
/// Time without an answer of the API after which another instance may try: a
/// few attempts.
constexpr Clock::duration ApiPatience = std::chrono::seconds(6);
/// Time for which the other candidates go first after that.
constexpr Clock::duration ApiDoubtTime = std::chrono::seconds(30);
constexpr Clock::duration ApiDoubtPenalty = std::chrono::seconds(4);
/// The counts of a holder that is killed would be lost with it; the next two
/// candidates keep a copy.
constexpr std::size_t MaxCopyReceivers = 2;
/// Several ticks; a longer pause means that the process was held up.
constexpr Clock::duration MaxRunGap = std::chrono::milliseconds(500);
/// Several messages of an instance whose counts change.
constexpr Clock::duration MaxDifferenceAge = std::chrono::seconds(10);
constexpr Clock::duration ReceiversPeriod = std::chrono::seconds(1);
/// Between the clocks of two instances, each of which may differ by
/// MaxClockDifference from the median.
constexpr Clock::duration MaxClockError = 2 * MaxClockDifference;

Clock::duration fractionOf(Clock::duration Total, double Fraction) {
  return Clock::duration(Clock::rep(double(Total.count()) * Fraction));
}

std::uint64_t sumOf(const UsageCounts &Counts) {
  std::uint64_t Sum = 0;
  for (const auto &Item : Counts)
    Sum += Item.second;
  return Sum;
}

} // namespace

UsageReporter::UsageReporter(asio::io_context &Io, Options InitialValues,
                             const TableStore &Store, UsageChannel Links,
                             UsageApi PlatformApi, Hooks Functions,
                             Metrics &InstanceMetrics)
    : Context(Io), Values(std::move(InitialValues)), Channel(std::move(Links)),
      Api(std::move(PlatformApi)), Callbacks(std::move(Functions)),
      Counters(InstanceMetrics), Time(this->Callbacks.SystemClock),
      Counter(this->Values.Settings.Window,
              [this] { return this->Time.now(); }),
      Duty(Io,
           {this->Values.Name, this->Values.Incarnation,
            this->Values.PeerAddress, this->Values.Settings.Lease},
           Store) {}

void UsageReporter::start() {
  asio::co_spawn(this->Context, this->runDuty(), asio::detached);
  asio::co_spawn(this->Context, this->runSending(), asio::detached);
  asio::co_spawn(this->Context, this->runExchange(), asio::detached);
}

asio::awaitable<void> UsageReporter::runDuty() {
  while (!this->Stopped) {
    this->followClock();
    this->Duty.expire();
    co_await this->maintainDuty();
    co_await sleepFor(Tick);
  }
}

asio::awaitable<void> UsageReporter::maintainDuty() {
  if (!this->Duty.isHeld()) {
    const Clock::time_point Now = bootTime();
    const Clock::duration Penalty =
        Now < this->ApiDoubtedUntil ? ApiDoubtPenalty : Clock::duration::zero();
    // The list of the candidates is long and is needed only if the first of
    // them could claim.
    if (this->Leaving || Now < this->Duty.claimableFrom({}, Penalty) ||
        !this->Callbacks.IsCandidate() ||
        Now < this->Duty.claimableFrom(this->Callbacks.InService(), Penalty))
      co_return;
    const UsageWindow Done = this->Duty.view().HighestDone;
    co_await this->Duty.claim(this->Counter.firstWindow(),
                              this->lastClosableWindow());
    if (!this->Duty.isHeld())
      co_return;
    const UsageLeaseRow &Row = this->Duty.held()->Row;
    const UsageWindow First = std::max(Done + 1, Row.First);
    if (First <= Row.Done)
      this->leaveOut(First, Row.Done, "reports_may_be_lost");
    co_return;
  }
  if (this->TermToken != this->Duty.token()) {
    this->TermToken = this->Duty.token();
    this->Sums.clear();
    this->ClockDifferences.clear();
    this->OwnChange = 0;
    this->ApiAnsweredAt = Clock::now();
    this->Calls = 0;
    this->RetryDelay = Clock::duration::zero();
    this->NextReceiversAt = {};
    if (this->HolderCounts)
      this->Sums.apply(*this->HolderCounts);
  }
  if (Clock::now() >= this->NextReceiversAt) {
    this->NextReceiversAt = Clock::now() + ReceiversPeriod;
    this->CopyReceivers = nextCandidates(this->Callbacks.InService(),
                                         this->Duty.view(), MaxCopyReceivers);
  }
  if (co_await this->releaseIfNeeded())
    co_return;
  if (this->Duty.isLoaded())
    this->closeWindows();
  co_await this->Duty.maintain();
}

asio::awaitable<bool> UsageReporter::releaseIfNeeded() {
  const bool Unreachable = Clock::now() - this->ApiAnsweredAt >= ApiPatience;
  // A standby reads the tables too seldom to know who is in service.
  const bool Standby = !this->Callbacks.IsInService();
  if (this->Calling || (!this->Leaving && !Unreachable && !Standby))
    co_return false;
  if (Unreachable)
    this->ApiDoubtedUntil = bootTime() + ApiDoubtTime;
  const char *Reason = Standby ? "standby" : "api_out_of_reach";
  co_await this->Duty.release(this->Leaving ? "stop" : Reason);
  co_return true;
}

bool UsageReporter::isBehind() {
  const Clock::time_point Now = bootTime();
  if (this->LastRunAt != Clock::time_point{} &&
      Now - this->LastRunAt > MaxRunGap) {
    this->BehindUntil = Now + MaxRunGap;
    this->ClockDifferences.clear();
  }
  this->LastRunAt = Now;
  return Now < this->BehindUntil;
}

void UsageReporter::followClock() {
  this->isBehind();
  std::erase_if(this->ClockDifferences, [](const auto &Item) {
    return bootTime() - Item.second.SeenAt > MaxDifferenceAge;
  });
  std::vector<Clock::duration> Differences;
  for (const auto &Item : this->ClockDifferences)
    Differences.push_back(Item.second.Value);
  // With fewer clocks, what the last holder found remains in force.
  if (this->Duty.isHeld() && Differences.size() >= 2)
    this->Time.setCorrection(clockCorrection(std::move(Differences)));
  if (this->Time.update())
    logEvent(Event::UsageClockSet,
             {{"correction_ms", std::to_string(this->Time.correction() /
                                               std::chrono::milliseconds(1))}});
}

UsageWindow UsageReporter::lastClosableWindow() const {
  const UsageSettings &Settings = this->Values.Settings;
  const UsageWindow Open = windowAt(this->Time.now() + MaxClockError -
                                        fractionOf(Settings.Due, CloseFraction),
                                    Settings.Window);
  return Open - std::min<UsageWindow>(Open, 1);
}

void UsageReporter::closeWindows() {
  UsageBacklog &Backlog = this->Duty.backlog();
  const UsageSettings &Settings = this->Values.Settings;
  const TrueTime Now = this->Time.now();
  const UsageWindow Current = windowAt(Now, Settings.Window);
  const UsageWindow Oldest = Backlog.nextToClose();
  while (Backlog.nextToClose() + UsageBacklog::MaxWindows < Current)
    Backlog.leaveOut();
  if (Backlog.nextToClose() > Oldest)
    this->leaveOut(Oldest, Backlog.nextToClose() - 1, "backlog");
  this->Sums.apply(this->makeMessage(this->OwnChange));
  this->OwnChange = this->Counter.lastChange();
  for (;;) {
    const UsageWindow Window = Backlog.nextToClose();
    const TrueTime End = windowEnd(Window, Settings.Window);
    if (Now < End + fractionOf(Settings.Due, CloseFraction))
      break;
    const auto Silent = this->Sums.silent(this->Callbacks.InService());
    if (!Silent.empty() &&
        (Now < End + fractionOf(Settings.Due, LatestCloseFraction) ||
         bootTime() - this->Duty.heldSince() < GatherTime))
      break;
    this->closeWindow(Window, Silent);
  }
  while (const auto Dropped = Backlog.dropOldest())
    this->leaveOut(*Dropped, *Dropped, "backlog");
  this->Sums.removeThrough(Backlog.done());
  this->Counter.removeThrough(Backlog.done());
}

void UsageReporter::closeWindow(UsageWindow Window,
                                const std::vector<std::string> &Silent) {
  UsageBacklog &Backlog = this->Duty.backlog();
  this->Counter.closeThrough(Window);
  // If every instance started later, what earlier ones counted is lost.
  if (!this->Sums.isCovered(Window) && Window != this->Duty.held()->Row.First) {
    Backlog.leaveOut();
    this->leaveOut(Window, Window, "no_instance_counted");
    return;
  }
  UsageCounts Counts = this->Sums.total(Window);
  std::string Names;
  for (const std::string &Name : Silent)
    Names += (Names.empty() ? "" : ",") + Name;
  logEvent(Event::UsageWindowClosed,
           {{"window", std::to_string(Window)},
            {"requests", std::to_string(sumOf(Counts))},
            {"workspaces", std::to_string(Counts.size())},
            {"silent", Names}});
  if (!Silent.empty())
    this->Counters.add(Metric::UsageWindows, {{"result", "incomplete"}});
  Backlog.close(std::move(Counts));
}

void UsageReporter::leaveOut(UsageWindow First, UsageWindow Last,
                             const char *Reason) {
  logEvent(Event::UsageWindowLeftOut, {{"first", std::to_string(First)},
                                       {"last", std::to_string(Last)},
                                       {"reason", Reason}});
  this->Counters.add(Metric::UsageWindows, {{"result", "left_out"}},
                     double(Last - First + 1));
}

void UsageReporter::updateMetrics() {
  const UsageLeaseView &View = this->Duty.view();
  this->Counters.set(Metric::UsageHolder, {}, this->Duty.isHeld() ? 1 : 0);
  this->Counters.set(Metric::UsageToken, {},
                     View.Row ? double(View.Row->Token) : 0);
  this->Counters.set(Metric::UsageDone, {},
                     View.Row ? double(View.Row->Done) : 0);
  this->Counters.set(Metric::UsageBacklog, {},
                     this->Duty.isHeld() ? double(this->Duty.backlog().size())
                                         : 0);
  this->Counters.set(Metric::UsageLateRequests, {},
                     double(this->Counter.lateRequests()));
  this->Counters.set(
      Metric::UsageClockCorrection, {},
      std::chrono::duration<double>(this->Time.correction()).count());
}

} // namespace rr
