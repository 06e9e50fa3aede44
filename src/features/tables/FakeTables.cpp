#include "tables/FakeTables.h"

#include "base/Timer.h"

#include <algorithm>

namespace rr {

namespace {

constexpr Clock::duration PollInterval = std::chrono::milliseconds(10);

} // namespace

TableStore FakeTables::tables() {
  TableStore Store;
  Store.ReadTable =
      [this](std::string Table) -> asio::awaitable<Outcome<TableRows>> {
    ++this->Calls;
    if (this->ReadTime > Clock::duration::zero())
      co_await sleepFor(this->ReadTime);
    if (this->Down || this->DownTables.contains(Table))
      co_return failure(Errc::Unavailable);
    co_return this->rowsAfter(Table, 0, false);
  };
  Store.ReadChanges = [this](std::string Table, StoreVersion After,
                             Clock::duration Wait) {
    return this->readChanges(std::move(Table), After, Wait);
  };
  Store.Commit = [this](std::vector<TableWrite> Writes)
      -> asio::awaitable<Outcome<StoreVersion>> {
    ++this->Calls;
    if (this->Down || this->RefuseWrites)
      co_return failure(Errc::Unavailable);
    co_return this->commit(Writes);
  };
  return Store;
}

asio::awaitable<Outcome<TableRows>>
FakeTables::readChanges(std::string Table, StoreVersion After,
                        Clock::duration Wait) {
  ++this->Calls;
  this->LastWait = Wait;
  if (this->ReadTime > Clock::duration::zero())
    co_await sleepFor(this->ReadTime);
  const Clock::time_point End = Clock::now() + Wait;
  for (;;) {
    if (Wait == Clock::duration::zero() ||
        !this->StalledTables.contains(Table)) {
      if (this->Down || this->DownTables.contains(Table)) {
        ++this->FailedReads;
        co_return failure(Errc::Unavailable);
      }
      if (After.Number < this->OldestHistory || After.Era != this->Version.Era)
        co_return failure(Errc::Stale);
      TableRows Rows = this->rowsAfter(Table, After.Number, true);
      if (!Rows.Rows.empty() || Clock::now() >= End)
        co_return Rows;
    }
    co_await sleepFor(PollInterval);
  }
}

TableRows FakeTables::rowsAfter(const std::string &Table, std::uint64_t After,
                                bool WithDeleted) const {
  TableRows Result;
  Result.Version = this->Version;
  Result.StoreTime = Clock::now().time_since_epoch();
  const auto Found = this->Tables.find(Table);
  if (Found == this->Tables.end())
    return Result;
  for (const auto &[Key, Item] : Found->second)
    if (Item.Version > After && (WithDeleted || !Item.Deleted))
      Result.Rows.push_back(
          {Key, Item.Value, {this->Version.Era, Item.Version}, Item.Deleted});
  return Result;
}

Outcome<StoreVersion>
FakeTables::commit(const std::vector<TableWrite> &Writes) {
  for (const TableWrite &Write : Writes) {
    const auto &Rows = this->Tables[Write.Table];
    const auto Found = Rows.find(Write.Key);
    const std::uint64_t Current = Found == Rows.end() || Found->second.Deleted
                                      ? 0
                                      : Found->second.Version;
    if (!Write.ExpectedVersion)
      continue;
    const StoreVersion &Expected = *Write.ExpectedVersion;
    const bool OtherEra = !Expected.meansAbsent() && !this->IgnoreEraOfWrites &&
                          Expected.Era != this->Version.Era;
    if (OtherEra || Expected.Number != Current)
      return failure(Errc::Conflict);
  }
  ++this->Version.Number;
  for (const TableWrite &Write : Writes)
    this->Tables[Write.Table][Write.Key] = {Write.Value, this->Version.Number,
                                            Write.Remove};
  return this->Version;
}

std::shared_ptr<const FakeTables::Copy> FakeTables::copy() const {
  return std::make_shared<const Copy>(Copy{this->Tables, this->Version.Number});
}

void FakeTables::restore(const Copy &From) {
  this->Tables = From.Tables;
  this->Version = {this->Version.Era + 1, From.Version};
  this->OldestHistory = std::min(this->OldestHistory, From.Version);
}

void FakeTables::put(const std::string &Table, const std::string &Key,
                     const std::string &Value) {
  this->Tables[Table][Key] = {Value, ++this->Version.Number, false};
}

void FakeTables::erase(const std::string &Table, const std::string &Key) {
  this->Tables[Table][Key] = {"", ++this->Version.Number, true};
}

const std::string *FakeTables::find(const std::string &Table,
                                    const std::string &Key) const {
  const auto Rows = this->Tables.find(Table);
  if (Rows == this->Tables.end())
    return nullptr;
  const auto Found = Rows->second.find(Key);
  return Found == Rows->second.end() ? nullptr : &Found->second.Value;
}

} // namespace rr
