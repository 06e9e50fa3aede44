#include "gateway/LostMemberRows.h"

#include "logging/EventLog.h"

namespace rr {

namespace {

/// A record has no effect any more when it is older than this. See
/// MaxHolderAge of MemberView.
constexpr Clock::duration MaxRecordAge = std::chrono::seconds(60);

bool hasEffect(const MemberRecord &Record, Clock::duration StoreTime) {
  return Record.WrittenAt + MaxRecordAge > StoreTime;
}

} // namespace

void LostMemberRows::beginRead(bool FirstInEra) {
  this->NewEra = FirstInEra;
  this->OlderRows = 0;
  if (FirstInEra) {
    this->Outdated.clear();
    this->Missing.clear();
  }
}

bool LostMemberRows::isOutdated(const MemberRecord &Row, StoreVersion Version,
                                const MemberRecord *Known) {
  const auto Found = this->Outdated.find(Row.Name);
  if (Found != this->Outdated.end() && Found->second == Version)
    return true;
  if (!this->NewEra)
    return false;
  const auto Last = this->Removed.find(Row.Name);
  // The run that wrote a row may differ, so the times decide.
  if ((!Known || Row.WrittenAt >= Known->WrittenAt) &&
      (Last == this->Removed.end() || Row.WrittenAt > Last->second.WrittenAt))
    return false;
  this->Outdated[Row.Name] = Version;
  ++this->OlderRows;
  return true;
}

void LostMemberRows::recordRow(const std::string &Name) {
  this->Outdated.erase(Name);
  this->Missing.erase(Name);
  this->Removed.erase(Name);
}

void LostMemberRows::recordRemoval(const MemberRecord &Last,
                                   Clock::duration StoreTime) {
  this->recordRow(Last.Name);
  std::erase_if(this->Removed, [StoreTime](const auto &Item) {
    return !hasEffect(Item.second, StoreTime);
  });
  this->Removed[Last.Name] = Last;
}

LostMemberRows::RecordMap LostMemberRows::endRead(const RecordMap &Before,
                                                  const RecordMap &Present,
                                                  Clock::duration StoreTime) {
  RecordMap Kept;
  for (const auto &[Name, Record] : Before) {
    if (Present.contains(Name))
      continue;
    if (!this->NewEra && !this->Missing.contains(Name)) {
      this->recordRemoval(Record, StoreTime);
    } else if (hasEffect(Record, StoreTime)) {
      this->Missing.insert(Name);
      Kept[Name] = Record;
    } else {
      this->Missing.erase(Name);
    }
  }
  if (this->NewEra)
    logEvent(Event::RestoredRowsOlder,
             {{"kind", "instance"},
              {"older", std::to_string(this->OlderRows)},
              {"missing", std::to_string(Kept.size())}});
  this->NewEra = false;
  return Kept;
}

} // namespace rr
