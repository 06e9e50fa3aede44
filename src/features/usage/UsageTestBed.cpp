#include "usage/UsageTestBed.h"

#include "base/Timer.h"
#include "testing/RunReady.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include <algorithm>

namespace rr {

namespace {

constexpr Clock::duration Step = std::chrono::milliseconds(10);
constexpr Clock::duration Latency = std::chrono::milliseconds(10);
constexpr Clock::duration ReadPeriod = std::chrono::seconds(2);
/// Of the store, for a write.
constexpr Clock::duration CommitTimeout = std::chrono::seconds(2);
constexpr UsageWindow WindowsSearched = 200;

} // namespace

UsageTestBed::UsageTestBed(std::size_t Count) {
  Clock::pause();
  for (std::size_t Index = 0; Index < Count; ++Index) {
    this->Nodes.push_back(std::make_unique<Node>());
    this->Nodes.back()->Name = "i" + std::to_string(Index);
  }
  for (const auto &Item : this->Nodes)
    this->start(*Item);
}

UsageTestBed::~UsageTestBed() {
  for (const auto &Item : this->Nodes)
    this->kill(*Item);
  Clock::resume();
}

void UsageTestBed::kill(Node &Item) {
  Item.Reporter.reset();
  Item.Watch.reset();
  Item.Context.reset();
}

void UsageTestBed::start(Node &Item) {
  Item.Context = std::make_unique<asio::io_context>();
  Item.Store = this->storeFor(Item);
  UsageReporter::Hooks Hooks;
  Hooks.IsCandidate = [&Item] {
    return Item.Candidate && !Item.Standby && !Item.StoreCut;
  };
  Hooks.IsInService = [&Item] { return !Item.Standby; };
  Hooks.InService = [this] {
    std::vector<std::string> Names;
    for (const auto &Other : this->Nodes)
      if (Other->Reporter && !Other->Standby)
        Names.push_back(Other->Name);
    return Names;
  };
  Hooks.RefreshLease = [&Item] {
    asio::co_spawn(
        *Item.Context,
        [](TableWatch &Watch) -> asio::awaitable<void> {
          co_await Watch.refresh();
        }(*Item.Watch),
        asio::detached);
  };
  Hooks.SystemClock = [&Item] { return trueTime() + Item.ClockError; };
  Item.Reporter = std::make_unique<UsageReporter>(
      *Item.Context,
      UsageReporter::Options{Item.Name, "run" + std::to_string(++Item.Starts),
                             Item.Name + ":1", this->Settings},
      Item.Store, this->channelFor(Item), this->apiFor(Item), std::move(Hooks),
      Item.Counters);
  UsageDuty &Duty = Item.Reporter->duty();
  Item.Watch = std::make_unique<TableWatch>(
      *Item.Context, Item.Store,
      TableWatch::Options{UsageDuty::LeaseTable, ReadPeriod, ReadPeriod},
      TableWatch::Handlers{
          [&Duty](const TableRows &Rows) { Duty.applySnapshot(Rows); },
          [&Duty](const TableRows &Rows) { Duty.applyChanges(Rows); }, nullptr,
          nullptr});
  asio::co_spawn(*Item.Context, Item.Watch->run(), asio::detached);
  Item.Reporter->start();
}

asio::awaitable<Outcome<StoreVersion>>
UsageTestBed::commit(Node &Item, std::vector<TableWrite> Writes) {
  struct Result {
    std::optional<Outcome<StoreVersion>> Value;
  };
  const auto Shared = std::make_shared<Result>();
  if (Item.StoreCut) {
    co_await sleepFor(CommitTimeout);
    co_return failure(Errc::Unknown);
  }
  if (Item.WritesRefused)
    co_return failure(Errc::Unavailable);
  const Clock::duration Delay = Latency + Item.CommitDelay;
  const bool Lost = Item.LosesCommitAnswers;
  // Runs apart from the node, which may be killed meanwhile.
  asio::co_spawn(
      this->Shared,
      [](UsageTestBed &Bed, std::vector<TableWrite> Rows,
         std::shared_ptr<Result> Target,
         Clock::duration Time) -> asio::awaitable<void> {
        co_await sleepFor(Time);
        Target->Value = co_await Bed.Tables.tables().Commit(std::move(Rows));
      }(*this, std::move(Writes), Shared, Delay),
      asio::detached);
  const Clock::time_point End = Clock::now() + CommitTimeout;
  while (Clock::now() < End && (Lost || !Shared->Value))
    co_await sleepFor(Step);
  if (Lost || !Shared->Value)
    co_return failure(Errc::Unknown);
  co_return *Shared->Value;
}

TableStore UsageTestBed::storeFor(Node &Item) {
  const TableStore All = this->Tables.tables();
  TableStore Result;
  Result.ReadTable =
      [All, &Item](std::string Table) -> asio::awaitable<Outcome<TableRows>> {
    co_await sleepFor(Latency);
    if (Item.StoreCut)
      co_return failure(Errc::Unavailable);
    co_return co_await All.ReadTable(std::move(Table));
  };
  Result.ReadChanges =
      [All,
       &Item](std::string Table, StoreVersion After,
              Clock::duration Wait) -> asio::awaitable<Outcome<TableRows>> {
    co_await sleepFor(Latency);
    if (Item.StoreCut)
      co_return failure(Errc::Unavailable);
    auto Rows = co_await All.ReadChanges(std::move(Table), After, Wait);
    if (Item.StoreCut)
      co_return failure(Errc::Unavailable);
    co_return Rows;
  };
  Result.Commit = [this, &Item](std::vector<TableWrite> Writes) {
    return this->commit(Item, std::move(Writes));
  };
  return Result;
}

UsageTestBed::Node *UsageTestBed::find(const std::string &Name) {
  for (const auto &Item : this->Nodes)
    if (Item->Name == Name && Item->Reporter)
      return Item.get();
  return nullptr;
}

UsageChannel UsageTestBed::channelFor(Node &Item) {
  UsageChannel Channel;
  Channel.IsLinked = [this, &Item](const std::string &Peer) {
    const Node *Other = this->find(Peer);
    return Other && !Other->PeersCut && !Item.PeersCut;
  };
  Channel.SetPeers = [](const std::map<std::string, std::string> &) {};
  Channel.Call =
      [this, &Item](
          std::string Peer, std::string Body,
          Clock::time_point Deadline) -> asio::awaitable<Outcome<std::string>> {
    co_await sleepFor(Latency);
    while (Clock::now() < Deadline) {
      Node *const Other = this->find(Peer);
      if (!Other || Other->PeersCut || Item.PeersCut)
        co_return failure(Errc::ConnectionLost);
      if (Clock::now() >= Other->FrozenUntil)
        co_return Other->Reporter->receive(Item.Name, Body);
      co_await sleepFor(Step);
    }
    co_return failure(Errc::Timeout);
  };
  return Channel;
}

UsageApi UsageTestBed::apiFor(Node &Item) {
  return [this,
          &Item](UsageReport Report,
                 UsageCallOptions Options) -> asio::awaitable<UsageCallResult> {
    co_await sleepFor(Latency);
    if (Item.ApiCut) {
      co_await sleepFor(Options.Deadline - Clock::now());
      co_return UsageCallResult{0, make_error_code(Errc::Timeout)};
    }
    if (!Options.MayWrite())
      co_return UsageCallResult{0, make_error_code(Errc::Cancelled)};
    if (this->ApiStatus == 200)
      this->Api.receive(Item.Name, Report);
    co_await sleepFor(Latency);
    if (Item.LosesApiAnswers) {
      co_await sleepFor(Options.Deadline - Clock::now());
      co_return UsageCallResult{0, make_error_code(Errc::Timeout)};
    }
    co_return UsageCallResult{this->ApiStatus, {}};
  };
}

void UsageTestBed::advance(Clock::duration Time) {
  for (Clock::duration Passed{0}; Passed < Time; Passed += Step) {
    Clock::advance(Step);
    std::vector<asio::io_context *> Running{&this->Shared};
    for (const auto &Item : this->Nodes)
      if (Item->Context && Clock::now() >= Item->FrozenUntil)
        Running.push_back(Item->Context.get());
    runReady(Running);
  }
}

UsageTestBed::Node *UsageTestBed::holder() {
  for (const auto &Item : this->Nodes)
    if (Item->Reporter && Clock::now() >= Item->FrozenUntil &&
        Item->Reporter->duty().isLoaded())
      return Item.get();
  return nullptr;
}

UsageTestBed::Node *UsageTestBed::awaitHolder(Clock::duration Limit) {
  this->awaitThat([this] { return this->holder() != nullptr; }, Limit);
  return this->holder();
}

bool UsageTestBed::awaitThat(const std::function<bool()> &Condition,
                             Clock::duration Limit) {
  for (const Clock::time_point End = Clock::now() + Limit;
       !Condition() && Clock::now() < End;)
    this->advance(Step);
  return Condition();
}

void UsageTestBed::record(Node &Item, const std::string &Workspace, int Count) {
  for (int Index = 0; Index < Count; ++Index)
    Item.Reporter->counter().record(Workspace, Clock::now());
}

UsageWindow UsageTestBed::window() const {
  return windowAt(trueTime(), this->Settings.Window);
}

void UsageTestBed::advanceToWindow(Clock::duration After) {
  const TrueTime Next =
      windowEnd(this->window(), this->Settings.Window) + After;
  while (trueTime() < Next)
    this->advance(Step);
}

std::optional<std::uint64_t> UsageTestBed::reported(UsageWindow Window) const {
  const auto Found = this->Api.reports().find(Window);
  if (Found == this->Api.reports().end())
    return std::nullopt;
  std::uint64_t Sum = 0;
  for (const auto &Item : Found->second)
    Sum += Item.second;
  return Sum;
}

std::size_t UsageTestBed::storedReports() const {
  std::size_t Count = 0;
  const UsageWindow Now = this->window();
  // Windows are counted from the start of the machine here, so there may be
  // fewer than are searched.
  const UsageWindow Oldest = Now - std::min(Now, WindowsSearched);
  for (UsageWindow Window = Oldest; Window <= Now; ++Window) {
    const std::string *Row =
        this->Tables.find(UsageDuty::ReportTable, std::to_string(Window));
    // A removed row has no value.
    Count += Row && !Row->empty() ? 1 : 0;
  }
  return Count;
}

} // namespace rr
