#include "base/Timer.h"
#include "logging/EventLog.h"
#include "tables/BootTime.h"
#include "usage/ClockCorrection.h"
#include "usage/UsageReporter.h"

#include <algorithm>

namespace rr {

namespace {

constexpr Clock::duration Tick = std::chrono::milliseconds(100);
/// Time between two messages while the counts change.
constexpr Clock::duration CountsPeriod = std::chrono::seconds(1);
/// A few round trips between regions.
constexpr Clock::duration CountsTimeout = std::chrono::seconds(1);
constexpr Clock::duration CountsRetryDelay = std::chrono::milliseconds(300);
/// Candidates that read the row at once when the link to the holder ends. All
/// instances together would overload the store.
constexpr std::size_t EarlyReaders = 3;
constexpr Clock::duration LateLogPeriod = std::chrono::seconds(5);

} // namespace

UsageCountsMessage UsageReporter::makeMessage(std::uint64_t After) {
  UsageCountsMessage Message;
  Message.Name = this->Values.Name;
  Message.Incarnation = this->Values.Incarnation;
  Message.Sequence = ++this->Sequence;
  Message.FirstWindow = this->Counter.firstWindow();
  Message.SentAt = this->Time.system();
  Message.Windows = this->Counter.changedSince(After);
  return Message;
}

Outcome<std::string> UsageReporter::receive(const std::string &Peer,
                                            const std::string &Body) {
  const auto Message = decodeCountsMessage(Body);
  if (!Message || Message->Name != Peer)
    return failure(Errc::Malformed);
  this->Duty.expire();
  if (!this->Duty.isHeld() || this->TermToken != this->Duty.token())
    return failure(Errc::Unavailable);
  this->Sums.apply(*Message);
  if (!this->isBehind())
    this->ClockDifferences[Peer] = {Message->SentAt - this->Time.system(),
                                    bootTime()};
  const HeldUsageLease &Held = *this->Duty.held();
  UsageCountsAnswer Answer;
  Answer.Lease = Held.Row;
  Answer.LeaseVersion = Held.RowVersion;
  Answer.ClosedThrough = this->Duty.isLoaded()
                             ? this->Duty.backlog().nextToClose() - 1
                             : Held.Row.Done;
  Answer.Time = this->Time.now();
  if (std::find(this->CopyReceivers.begin(), this->CopyReceivers.end(), Peer) !=
      this->CopyReceivers.end())
    Answer.OwnCounts = this->makeMessage(0);
  return encodeCountsAnswer(Answer);
}

asio::awaitable<void> UsageReporter::runExchange() {
  while (!this->Stopped) {
    co_await this->exchangeCounts();
    const std::uint64_t Late = this->Counter.lateRequests();
    if (Late > this->LoggedLate && Clock::now() >= this->NextLateLogAt) {
      this->NextLateLogAt = Clock::now() + LateLogPeriod;
      logEvent(Event::UsageCountsLate,
               {{"requests", std::to_string(Late - this->LoggedLate)}});
      this->LoggedLate = Late;
    }
    co_await sleepFor(Tick);
  }
}

asio::awaitable<void> UsageReporter::exchangeCounts() {
  const auto &Row = this->Duty.view().Row;
  if (!Row || Row->Released || Row->Holder == this->Values.Name) {
    this->Channel.SetPeers({});
    this->WasLinked = false;
    co_return;
  }
  if (Row->Done > 0)
    this->Counter.removeThrough(Row->Done);
  const bool NewHolder = Row->Token != this->AckedToken;
  const std::uint64_t Acked = NewHolder ? 0 : this->AckedChange;
  const bool Changed = this->Counter.lastChange() > Acked;
  const bool InService = this->Callbacks.IsInService();
  if (!InService && !Changed) {
    this->Channel.SetPeers({});
    co_return;
  }
  const std::string Holder = Row->Holder;
  this->Channel.SetPeers({{Holder, Row->PeerAddress}});
  const bool Linked = this->Channel.IsLinked(Holder);
  // The end of the link may be that of the holder. The next candidates must
  // know its last row early, since the time to a claim counts from then on.
  if (this->WasLinked && !Linked && InService &&
      claimRank(this->Callbacks.InService(), this->Values.Name,
                this->Duty.view()) < EarlyReaders)
    this->Callbacks.RefreshLease();
  this->WasLinked = Linked;
  const bool FirstTry = Row->Token != this->TriedToken;
  if (!Linked || (!Changed && !NewHolder) ||
      (!FirstTry && Clock::now() < this->NextCountsAt))
    co_return;
  this->TriedToken = Row->Token;
  this->NextCountsAt = Clock::now() + CountsPeriod;
  if (!co_await this->sendCounts(Holder, Row->Token))
    this->NextCountsAt = Clock::now() + CountsRetryDelay;
}

asio::awaitable<bool> UsageReporter::sendCounts(std::string Holder,
                                                std::uint64_t Token) {
  const std::uint64_t Change = this->Counter.lastChange();
  const std::uint64_t Acked = Token == this->AckedToken ? this->AckedChange : 0;
  const std::string Body = encodeCountsMessage(this->makeMessage(Acked));
  this->Counters.add(Metric::UsageMessageBytes, {}, double(Body.size()));
  const Clock::time_point SentAt = bootTime();
  const auto Received =
      co_await this->Channel.Call(Holder, Body, Clock::now() + CountsTimeout);
  const auto Answer = Received
                          ? decodeCountsAnswer(*Received)
                          : tl::unexpected<std::error_code>(Received.error());
  this->Counters.add(
      Metric::UsageMessages,
      {{"result", Answer ? std::string("done") : Answer.error().message()}});
  if (!Answer || Answer->Lease.Token < Token)
    co_return false;
  this->AckedToken = Answer->Lease.Token;
  this->AckedChange = Change;
  this->applyAnswer(*Answer, bootTime() - SentAt);
  co_return true;
}

void UsageReporter::applyAnswer(const UsageCountsAnswer &Answer,
                                Clock::duration Passed) {
  this->Duty.observe(Answer.Lease, Answer.LeaseVersion, Answer.LeaseVersion);
  this->Counter.closeThrough(Answer.ClosedThrough);
  if (Answer.OwnCounts)
    this->HolderCounts = Answer.OwnCounts;
  // The answer, or this instance, was held up.
  if (Passed > MaxClockDifference / 2)
    return;
  const Clock::duration Difference = Answer.Time - this->Time.system();
  this->Time.adoptCorrection(std::chrono::abs(Difference) > MaxClockDifference
                                 ? Difference
                                 : Clock::duration::zero());
}

asio::awaitable<void> UsageReporter::finish(Clock::duration Limit) {
  const Clock::time_point End = Clock::now() + Limit;
  this->Leaving = true;
  while (Clock::now() < End && this->Counter.lastChange() > 0) {
    const auto &Row = this->Duty.view().Row;
    const bool Other =
        Row && !Row->Released && Row->Holder != this->Values.Name;
    if (Other && Row->Token == this->AckedToken &&
        this->AckedChange == this->Counter.lastChange())
      break;
    if (Other && this->Channel.IsLinked(Row->Holder))
      co_await this->sendCounts(Row->Holder, Row->Token);
    co_await sleepFor(Tick / 4);
  }
  this->Stopped = true;
}

} // namespace rr
