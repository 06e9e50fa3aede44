#include "gateway/SuspectRegistry.h"

#include "base/Random.h"
#include "base/Timer.h"
#include "gateway/MemberRegistry.h"
#include "gateway/SteeringPollPeriods.h"
#include "gateway/SteeringState.h"
#include "gateway/SuspectRow.h"
#include "logging/EventLog.h"
#include "steering/StableHash.h"
#include "tables/TableStore.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include <algorithm>
#include <random>

namespace rr {

namespace {

/// Rows written by one call; the store accepts 100.
constexpr std::size_t MaxRowsPerWrite = 50;
/// Rows kept while the store is unavailable.
constexpr std::size_t MaxPendingRows = 512;
/// A request that crashes servers returns within this time.
constexpr Clock::duration RecentLossTime = std::chrono::seconds(10);
/// An instance with rows to write should not add much load to a store that
/// does not answer.
constexpr Clock::duration RetryDelay = std::chrono::seconds(1);

/// Instances that write the same lost row again, in case that one of them
/// started since and does not know it.
constexpr std::size_t LostRowWriters = 2;

/// A server may restart with its id.
std::string runOf(const BackendState &Server) {
  return std::to_string(
      mixHashes(Server.Hash, std::uint64_t(Server.Record.StartTimeMs)));
}

} // namespace

SuspectRegistry::SuspectRegistry(asio::io_context &Io,
                                 SteeringState &SharedState,
                                 const TableStore &InstanceStore)
    : Context(Io), State(SharedState), Store(InstanceStore) {}

void SuspectRegistry::applySnapshot(const TableRows &Rows) {
  const bool NewEra = this->Era && Rows.Version.Era > *this->Era;
  this->Era = std::max(this->Era.value_or(0), Rows.Version.Era);
  // All observations, whatever their age.
  const std::vector<CrashObservation> Before =
      NewEra ? this->State.Suspects.expired(Clock::duration::max())
             : std::vector<CrashObservation>();
  this->State.Suspects.clear();
  this->Versions.clear();
  this->applyChanges(Rows);
  if (NewEra)
    this->keepLost(Before);
  for (const auto &Item : this->Lost)
    this->add(Item.second);
  for (const auto &[Key, Write] : this->Pending)
    this->apply({Key, Write.Value, NoRow, Write.Remove});
}

void SuspectRegistry::keepLost(const std::vector<CrashObservation> &Before) {
  this->Lost.clear();
  for (const CrashObservation &Item : Before) {
    const std::string Key = makeSuspectRow(MemberRegistry::Table, Item).Key;
    if (!this->Versions.contains(Key) && !this->wasAnsweredSince(Item))
      this->Lost[Key] = Item;
  }
  this->renewPending();
  if (this->Lost.empty())
    return;
  logEvent(Event::RestoredRowsOlder,
           {{"kind", "suspect"},
            {"older", "0"},
            {"missing", std::to_string(this->Lost.size())}});
  asio::co_spawn(this->Context, this->writeLostRows(), asio::detached);
}

void SuspectRegistry::renewPending() {
  std::erase_if(this->Pending, [this](const auto &Item) {
    return Item.second.Remove && !this->Versions.contains(Item.first);
  });
  for (auto &[Key, Write] : this->Pending) {
    const auto Known = this->Versions.find(Key);
    Write.ExpectedVersion =
        Known == this->Versions.end() ? NoRow : Known->second;
  }
}

asio::awaitable<void> SuspectRegistry::writeLostRows() {
  const std::uint64_t InEra = *this->Era;
  RandomEngine Random(randomSeed());
  co_await sleepFor(Clock::duration(std::uniform_int_distribution<Clock::rep>(
      0, RestoredRowSpread.count())(Random)));
  std::vector<std::string> Keys;
  if (!this->State.Standby)
    for (const auto &[Key, Item] : this->Lost)
      if (this->State.Members.isAmongTopRanked(stableHash(Item.Fingerprint),
                                               LostRowWriters))
        Keys.push_back(Key);
  for (const std::string &Key : Keys) {
    while (this->Pending.size() >= MaxPendingRows)
      co_await sleepFor(RetryDelay);
    if (*this->Era != InEra)
      co_return;
    const auto Found = this->Lost.find(Key);
    if (Found == this->Lost.end() || this->Pending.contains(Key))
      continue;
    TableWrite Row = makeSuspectRow(MemberRegistry::Table, Found->second);
    Row.ExpectedVersion = NoRow;
    this->startWrite(std::move(Row));
  }
}

void SuspectRegistry::applyChanges(const TableRows &Rows) {
  this->StoreTimeOffset = Rows.StoreTime - Clock::now().time_since_epoch();
  for (const TableRow &Row : Rows.Rows)
    if (isSuspectKey(Row.Key)) {
      this->Lost.erase(Row.Key);
      if (Row.Deleted)
        this->Versions.erase(Row.Key);
      else
        this->Versions[Row.Key] = Row.Version;
      this->apply(Row);
    }
}

void SuspectRegistry::apply(const TableRow &Row) {
  const auto Observation = decodeSuspectRow(Row);
  if (!Observation)
    logEvent(Event::PeerMalformedMessage, {{"row", Row.Key}});
  else if (Row.Deleted)
    this->State.Suspects.remove(Observation->Fingerprint,
                                Observation->ServerRun);
  else if (this->wasAnsweredSince(*Observation))
    this->startRemoval(*Observation);
  else
    this->add(*Observation);
}

bool SuspectRegistry::wasAnsweredSince(
    const CrashObservation &Observation) const {
  return this->State.Answers.answeredSince(
      Observation.Fingerprint,
      Clock::time_point(Observation.SentAt - this->StoreTimeOffset));
}

void SuspectRegistry::add(const CrashObservation &Observation) {
  SharedSuspects &Suspects = this->State.Suspects;
  const Clock::duration Now = this->storeTimeAt(Clock::now());
  const bool WasBlocked =
      Suspects.blockedFor(Observation.Fingerprint, Now) > Clock::duration{0};
  Suspects.add(Observation);
  if (!WasBlocked &&
      Suspects.blockedFor(Observation.Fingerprint, Now) > Clock::duration{0})
    logEvent(Event::CrashingRequestBlocked,
             {{"fingerprint", Observation.Fingerprint},
              {"crashes",
               std::to_string(
                   Suspects.observationsOf(Observation.Fingerprint).size())}});
}

void SuspectRegistry::recordCrash(const BackendState &Server,
                                  const std::vector<LostRequest> &Lost) {
  const std::string Run = runOf(Server);
  for (const LostRequest &Item : Lost) {
    const CrashObservation Observation{Item.Fingerprint, Run,
                                       this->storeTimeAt(Item.SentAt),
                                       this->storeTimeAt(Item.LostAt)};
    if (this->wasAnsweredSince(Observation))
      continue;
    this->add(Observation);
    TableWrite Row = makeSuspectRow(MemberRegistry::Table, Observation);
    const auto Known = this->Versions.find(Row.Key);
    Row.ExpectedVersion = Known == this->Versions.end() ? NoRow : Known->second;
    this->startWrite(std::move(Row));
  }
}

void SuspectRegistry::recordAnswer(const std::string &Fingerprint) {
  for (const CrashObservation &Observation :
       this->State.Suspects.observationsOf(Fingerprint)) {
    this->State.Suspects.remove(Fingerprint, Observation.ServerRun);
    this->startRemoval(Observation);
  }
  logEvent(Event::SuspicionCleared, {{"fingerprint", Fingerprint}});
}

void SuspectRegistry::removeExpired(bool Leader) {
  for (const CrashObservation &Observation :
       this->State.Suspects.expired(this->storeTimeAt(Clock::now()))) {
    this->State.Suspects.remove(Observation.Fingerprint, Observation.ServerRun);
    this->Lost.erase(makeSuspectRow(MemberRegistry::Table, Observation).Key);
    if (Leader)
      this->startRemoval(Observation);
  }
}

bool SuspectRegistry::hasRecentLoss() const {
  return !this->State.Suspects.empty() &&
         this->storeTimeAt(Clock::now()) <
             this->State.Suspects.lastLoss() + RecentLossTime;
}

void SuspectRegistry::startWrite(TableWrite Write) {
  if (this->Pending.size() >= MaxPendingRows &&
      !this->Pending.contains(Write.Key))
    return;
  this->Pending[Write.Key] = std::move(Write);
  if (this->Writing)
    return;
  this->Writing = true;
  asio::co_spawn(this->Context, this->writeRows(), asio::detached);
}

void SuspectRegistry::startRemoval(const CrashObservation &Observation) {
  TableWrite Removal =
      removeSuspectRow(MemberRegistry::Table, Observation, NoRow);
  this->Lost.erase(Removal.Key);
  const auto Known = this->Versions.find(Removal.Key);
  if (Known == this->Versions.end()) {
    // If a write of the row is under way, the row is read later and removed
    // then.
    this->Pending.erase(Removal.Key);
    return;
  }
  Removal.ExpectedVersion = Known->second;
  this->startWrite(std::move(Removal));
}

void SuspectRegistry::dropPending(const TableWrite &Write) {
  // The row may have changed again in the meantime.
  const auto Found = this->Pending.find(Write.Key);
  if (Found != this->Pending.end() && Found->second.Remove == Write.Remove)
    this->Pending.erase(Found);
}

void SuspectRegistry::recordWritten(const TableWrite &Write,
                                    StoreVersion Version) {
  if (Write.Remove)
    this->Versions.erase(Write.Key);
  else
    this->Versions[Write.Key] = Version;
  this->Lost.erase(Write.Key);
  this->dropPending(Write);
}

asio::awaitable<bool> SuspectRegistry::commit(std::vector<TableWrite> Writes) {
  const auto Written = co_await this->Store.Commit(Writes);
  if (Written) {
    const auto Again = std::count_if(Writes.begin(), Writes.end(),
                                     [this](const TableWrite &Write) {
                                       return this->Lost.contains(Write.Key);
                                     });
    if (Again > 0)
      logEvent(Event::RowsWrittenAgain, {{"kind", "suspect"},
                                         {"rows", std::to_string(Again)},
                                         {"version", Written->text()}});
    for (const TableWrite &Write : Writes)
      this->recordWritten(Write, *Written);
    co_return true;
  }
  if (Written.error() != make_error_code(Errc::Conflict)) {
    logEvent(Event::OwnRowNotWritten, {{"error", Written.error().message()}});
    co_return false;
  }
  if (Writes.size() == 1) {
    // Another instance changed the row. It is read with the next changes, and
    // removed then if it is still to be removed.
    this->dropPending(Writes.front());
    co_return true;
  }
  for (const TableWrite &Write : Writes) {
    std::vector<TableWrite> Single;
    Single.push_back(Write);
    if (!co_await this->commit(std::move(Single)))
      co_return false;
  }
  co_return true;
}

asio::awaitable<void> SuspectRegistry::writeRows() {
  while (!this->Pending.empty()) {
    std::vector<TableWrite> Writes;
    for (const auto &Item : this->Pending)
      if (Writes.size() < MaxRowsPerWrite)
        Writes.push_back(Item.second);
    const bool Answered = co_await this->commit(std::move(Writes));
    if (!Answered)
      co_await sleepFor(RetryDelay);
  }
  this->Writing = false;
}

} // namespace rr
