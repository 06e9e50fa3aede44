#include "gateway/SoakFleet.h"

#include <algorithm>

namespace rr {

namespace {

// What the platform's pages say of a store that comes back from a copy.
constexpr std::chrono::milliseconds MinAway{300};
constexpr std::chrono::milliseconds MaxAway{1500};
constexpr std::chrono::milliseconds MinCopyAge{1000};
constexpr std::chrono::milliseconds MaxCopyAge{6000};
/// Within which lost rows of the operator and the servers are written again.
constexpr std::chrono::milliseconds MaxRewriteDelay{2000};

constexpr Clock::duration CopyPeriod = std::chrono::milliseconds(100);
/// From a return to the next loss in a series of two.
constexpr std::chrono::milliseconds MinReturnTime{500};
constexpr std::chrono::milliseconds MaxReturnTime{3500};
constexpr double SecondRestoreShare = 0.3;
/// From a return to the next series: a drill has two restores at most, and what
/// was lost is written again in between.
constexpr Clock::duration MinSeriesPause = std::chrono::seconds(8);
/// Share of the restores after which another writer uses up versions, and of
/// these where it does so at once.
constexpr double OtherWriterShare = 0.5;
constexpr double OtherWriterAtOnceShare = 0.5;
/// The instances and servers write about five rows a second, so this exceeds
/// the versions that most restores lose.
constexpr std::size_t MinOtherWrites = 20;
constexpr std::size_t MaxOtherWrites = 100;
/// Share of the servers' rows that are written again though they were not
/// lost, as heartbeats are.
constexpr double HeartbeatShare = 0.3;
/// Time limits hold again this long after a return, except for what was known
/// before.
constexpr Clock::duration RecoveryTime = std::chrono::seconds(4);
constexpr Clock::duration MaxRowDelay = std::chrono::milliseconds(2500);
constexpr Clock::duration CallWindow = std::chrono::seconds(5);

constexpr Clock::duration Step = std::chrono::milliseconds(10);
/// Period of the operator's changes without other faults.
constexpr Clock::duration OrderPeriod = std::chrono::milliseconds(1500);
/// Time before a restore without other faults; covers the calls to the store
/// that are compared.
constexpr std::chrono::milliseconds MinUsualTime{6000};
constexpr std::chrono::milliseconds MaxUsualTime{8000};
/// Time in which requests are sent that count for the share that is served, and
/// for their answers.
constexpr Clock::duration ServedWindow = std::chrono::seconds(2);
constexpr Clock::duration AnswerTime = std::chrono::milliseconds(1600);
constexpr double KeyChangeShare = 0.5;
constexpr double EvacuationChangeShare = 0.25;
/// The share that the fleet must serve without faults.
constexpr double MinServedShare = 0.97;

} // namespace

void SoakFleet::scheduleRestore() {
  SoakRestores &Restores = this->Restores;
  if (!Restores.LeaveAt.empty() ||
      Restores.ReturnAt != Clock::time_point::max() ||
      Clock::now() < Restores.ReturnedAt + MinSeriesPause)
    return;
  Restores.LeaveAt.push_back(Clock::now());
  if (this->chance(SecondRestoreShare))
    Restores.LeaveAt.push_back(
        Clock::now() + MaxAway +
        this->randomDuration(MinReturnTime, MaxReturnTime));
}

void SoakFleet::maintainRestores() {
  SoakRestores &Restores = this->Restores;
  const Clock::time_point Now = Clock::now();
  const bool Away = Restores.ReturnAt != Clock::time_point::max();
  if (!Away && (Restores.Copies.empty() ||
                Now >= Restores.Copies.back().At + CopyPeriod)) {
    Restores.Copies.push_back({Now, this->Tables.copy()});
    while (Restores.Copies.front().At + MaxCopyAge < Now)
      Restores.Copies.pop_front();
  }
  if (!Restores.LeaveAt.empty() && Now >= Restores.LeaveAt.front()) {
    Restores.LeaveAt.pop_front();
    this->loseStore();
  }
  if (Now >= Restores.ReturnAt)
    this->returnStore();
  for (std::size_t Count = 0;
       Count < Restores.OtherWritesPerStep && Restores.OtherWrites > 0;
       ++Count, --Restores.OtherWrites)
    this->Tables.put("other", "row", std::to_string(Restores.OtherWrites));
  std::vector<SoakRestores::Rewrite> Due;
  std::erase_if(Restores.Rewrites, [&](const SoakRestores::Rewrite &Item) {
    if (Now < Item.At)
      return false;
    Due.push_back(Item);
    return true;
  });
  for (const SoakRestores::Rewrite &Item : Due)
    this->writeAgain(Item.Table, Item.Key);
  this->checkOwnRows();
  this->checkStoreCalls();
}

void SoakFleet::loseStore() {
  SoakRestores &Restores = this->Restores;
  const Clock::time_point Now = Clock::now();
  const Clock::duration Age = this->randomDuration(MinCopyAge, MaxCopyAge);
  Restores.Source = Restores.Copies.front();
  for (const SoakRestores::TimedCopy &Item : Restores.Copies)
    if (Item.At + Age <= Now)
      Restores.Source = Item;
  const Clock::duration Away = this->randomDuration(MinAway, MaxAway);
  this->logFault(
      "the store goes away for " +
      std::to_string(std::chrono::duration<double>(Away).count()) +
      " s and comes back from a copy " +
      std::to_string(
          std::chrono::duration<double>(Now - Restores.Source.At).count()) +
      " s old");
  this->noteKnownNotices();
  this->Tables.Down = true;
  Restores.ReturnAt = Now + Away;
  Restores.Rewrites.clear();
  Restores.OtherWrites = 0;
  Restores.LeftAt = Now;
  if (Now >= Restores.ReturnedAt + CallWindow)
    Restores.SeriesLeftAt = Now;
  Restores.CheckRowsAt = Restores.CheckCallsAt = Clock::time_point::max();
  Restores.SettledFrom =
      std::max(Restores.SettledFrom, Restores.ReturnAt + RecoveryTime);
}

void SoakFleet::noteKnownNotices() {
  const Clock::time_point Now = Clock::now();
  const auto Note = [&](SoakNotice &Notice, Clock::duration Bound) {
    if (Notice.Lost || Now < Notice.LastAt + Bound)
      return;
    for (const auto &Item : this->Nodes)
      if (Item->Instance && !Item->Instance->state().Standby &&
          this->isUndisturbed(*Item))
        Notice.KnownBy[Item.get()] = {Item->Kills, Now};
  };
  for (std::map<std::string, Server> *Group :
       {&this->Servers, &this->GoneServers})
    for (auto &[Id, Item] : *Group)
      if (Item.Drain)
        Note(*Item.Drain, MaxDrainDelay);
  for (auto &[Zone, Notice] : this->Evacuated)
    Note(Notice, MaxEvacuationDelay);
}

void SoakFleet::returnStore() {
  SoakRestores &Restores = this->Restores;
  const Clock::time_point Now = Clock::now();
  this->Tables.restore(*Restores.Source.Rows);
  this->Tables.Down = false;
  Restores.ReturnAt = Clock::time_point::max();
  Restores.ReturnedAt = Now;
  Restores.CheckRowsAt = Now + MaxRowDelay;
  Restores.CheckCallsAt = Now + CallWindow;
  for (const auto &Item : this->Nodes)
    Item->RowExcused = !Item->Instance || Now < Item->StartedAt + RecoveryTime;
  std::string Other = "alone";
  if (this->chance(OtherWriterShare)) {
    Restores.OtherWrites =
        MinOtherWrites + this->pickIndex(MaxOtherWrites - MinOtherWrites);
    const bool AtOnce = this->chance(OtherWriterAtOnceShare);
    Restores.OtherWritesPerStep = AtOnce ? Restores.OtherWrites : 1;
    Other = "and another writer uses " + std::to_string(Restores.OtherWrites) +
            " versions" + (AtOnce ? " at once" : "");
  }
  this->logFault("the store is back, " + Other);
  this->scheduleRewrites();
}

void SoakFleet::scheduleRewrites() {
  const Clock::time_point Now = Clock::now();
  const FakeTables::Copy &Stored = *this->Restores.Source.Rows;
  const auto Schedule = [&](const std::string &Table, const std::string &Key) {
    this->Restores.Rewrites.push_back(
        {Now + this->randomDuration({}, MaxRewriteDelay), Table, Key});
  };
  const auto IsLost = [&](const std::string &Table, const std::string &Key) {
    return rowIn(Stored, Table, Key) != this->wantedRow(Table, Key);
  };
  const auto Mark = [&](SoakNotice &Notice, bool Lost) {
    // A copy from before an earlier restore may have the notice again.
    if (Notice.Lost && !Lost)
      Notice.LastAt = Now;
    Notice.Lost = Lost;
  };
  if (IsLost("orders", "config"))
    Schedule("orders", "config");
  for (const std::string &Zone : Zones) {
    const bool Lost = IsLost("orders", Zone);
    if (Lost)
      Schedule("orders", Zone);
    if (const auto Found = this->Evacuated.find(Zone);
        Found != this->Evacuated.end())
      Mark(Found->second, Lost);
  }
  for (int Index = 1; Index <= this->LastServer; ++Index) {
    const std::string Id = "s" + std::to_string(Index);
    const bool Lost = IsLost("backends", Id);
    if (Lost || (this->Servers.contains(Id) && this->chance(HeartbeatShare)))
      Schedule("backends", Id);
    for (std::map<std::string, Server> *Group :
         {&this->Servers, &this->GoneServers})
      if (const auto Found = Group->find(Id);
          Found != Group->end() && Found->second.Drain)
        Mark(*Found->second.Drain, Lost);
  }
  const std::uint64_t Config = std::stoull(*rowIn(Stored, "orders", "config"));
  for (auto &[Version, AcknowledgedAt] : this->ConfigAcknowledged) {
    if (Version > Config)
      AcknowledgedAt = Clock::time_point::max();
    // Instances could not read it while the store was away.
    else if (AcknowledgedAt == Clock::time_point::max() ||
             AcknowledgedAt + SteeringBounds().ConfigurationTime >
                 this->Restores.LeftAt)
      AcknowledgedAt = Now;
  }
  for (auto &[Key, Notice] : this->Withdrawn)
    Mark(Notice, this->Configs.at(Config)->WorkspaceByKey.contains(Key));
}

std::optional<std::string> SoakFleet::rowIn(const FakeTables::Copy &Stored,
                                            const std::string &Table,
                                            const std::string &Key) {
  const auto Rows = Stored.Tables.find(Table);
  if (Rows == Stored.Tables.end())
    return std::nullopt;
  const auto Found = Rows->second.find(Key);
  if (Found == Rows->second.end() || Found->second.Deleted)
    return std::nullopt;
  return Found->second.Value;
}

void SoakFleet::writeAgain(const std::string &Table, const std::string &Key) {
  this->logFault("the row " + Table + "/" + Key + " is written again");
  if (const auto Value = this->wantedRow(Table, Key))
    this->Tables.put(Table, Key, *Value);
  else
    this->Tables.erase(Table, Key);
  if (Table == "orders" && Key == "config")
    this->onConfigurationWritten();
  else
    this->onNoticeWritten(Key);
}

void SoakFleet::runWithRestores(Clock::duration Time) {
  this->ServersFail = false;
  const Clock::time_point End = Clock::now() + Time;
  Clock::time_point OrderAt = Clock::now();
  const auto Run = [&](Clock::time_point Until, bool Changes) {
    while (Clock::now() < Until) {
      if (Changes && Clock::now() >= OrderAt) {
        OrderAt = Clock::now() + OrderPeriod;
        if (this->chance(KeyChangeShare))
          this->changeKey();
        else if (this->chance(EvacuationChangeShare))
          this->changeEvacuation();
        else
          this->configure();
      }
      this->sendRequests();
      this->step();
    }
  };
  while (Clock::now() < End) {
    Run(Clock::now() + this->randomDuration(MinUsualTime, MaxUsualTime), true);
    this->scheduleRestore();
    while (!this->Restores.LeaveAt.empty() ||
           this->Restores.ReturnAt != Clock::time_point::max())
      Run(Clock::now() + Step, true);
    const Clock::time_point Returned = this->Restores.ReturnedAt;
    // The last orders, and those that are written again, are in force 5 s after
    // the return.
    Run(Returned + MaxRewriteDelay, true);
    const Clock::time_point From =
        Returned + MaxRewriteDelay + SteeringBounds().ConfigurationTime;
    const Clock::time_point To = From + ServedWindow;
    Run(To + AnswerTime, false);
    const double Share = this->servedShare(From, To);
    if (Share <= MinServedShare)
      this->reportViolation("after a restore the fleet served a share of " +
                            std::to_string(Share));
  }
}

} // namespace rr
