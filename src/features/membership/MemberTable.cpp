#include "membership/MemberTable.h"

#include "base/Digest.h"
#include "membership/Timing.h"

#include <algorithm>

namespace rr {

namespace {

constexpr std::size_t RelaysPerZone = 2;

} // namespace

MemberTable::MemberTable(Member Self)
    : SelfName(Self.Name), SelfIncarnation(Self.Incarnation) {
  this->Entries[this->SelfName].Record = std::move(Self);
}

void MemberTable::recordsChanged() {
  ++this->Revision;
  this->Digests.clear();
  this->ByZone.clear();
}

bool MemberTable::merge(const Member &Report) {
  const auto Found = this->Entries.find(Report.Name);
  if (Found == this->Entries.end()) {
    this->Entries[Report.Name].Record = Report;
    this->recordsChanged();
    return true;
  }
  MemberEntry &Known = Found->second;
  const Member Winner = newerOf(Known.Record, Report);
  if (Winner == Known.Record)
    return false;
  if (Winner.Incarnation != Known.Record.Incarnation)
    Known = MemberEntry();
  Known.Record = Winner;
  this->recordsChanged();
  return true;
}

void MemberTable::mergePlatformList(
    const std::vector<InstanceRecord> &Records) {
  for (const InstanceRecord &Record : Records) {
    Member Report;
    Report.Name = Record.Name;
    Report.Zone = Record.Zone;
    Report.CallerAddress = Record.CallerAddress;
    Report.PeerAddress = Record.PeerAddress;
    if (Record.Leaving)
      Report.State = MemberState::Leaving;
    this->merge(Report);
  }
}

MemberEntry *MemberTable::current(const std::string &Name,
                                  std::uint64_t Incarnation) {
  const auto Found = this->Entries.find(Name);
  if (Found == this->Entries.end() ||
      Found->second.Record.Incarnation != Incarnation)
    return nullptr;
  return &Found->second;
}

void MemberTable::heard(const std::string &Name, std::uint64_t Incarnation,
                        Clock::time_point At) {
  MemberEntry *Entry = this->current(Name, Incarnation);
  if (!Entry || Entry->HeardAt >= At)
    return;
  Entry->HeardAt = At;
  ++this->Revision;
}

void MemberTable::acknowledge(const std::string &Name,
                              std::uint64_t Incarnation,
                              const ControlVersions &Versions) {
  MemberEntry *Entry = this->current(Name, Incarnation);
  if (Entry)
    Entry->Acknowledged = maximumOf(Entry->Acknowledged, Versions);
}

void MemberTable::setSynchronised(const std::string &Name,
                                  std::uint64_t Incarnation) {
  if (MemberEntry *Entry = this->current(Name, Incarnation))
    Entry->Synchronised = true;
}

void MemberTable::noteRefused(const std::string &Name,
                              std::uint64_t Incarnation) {
  MemberEntry *Entry = this->current(Name, Incarnation);
  if (!Entry || Name == this->SelfName || !isCounted(Entry->Record))
    return;
  Entry->Record.State = MemberState::Ended;
  this->recordsChanged();
}

bool MemberTable::declareLost(const std::string &Name) {
  const auto Found = this->Entries.find(Name);
  if (Found == this->Entries.end())
    return false;
  Found->second.Record.State = MemberState::Lost;
  this->recordsChanged();
  return true;
}

void MemberTable::setOwnState(MemberState State) {
  this->Entries[this->SelfName].Record.State = State;
  this->recordsChanged();
}

void MemberTable::prune(Clock::time_point Now) {
  for (auto Next = this->Entries.begin(); Next != this->Entries.end();) {
    MemberEntry &Entry = Next->second;
    const bool Gone = !isCounted(Entry.Record) && Next->first != this->SelfName;
    if (!Gone)
      Entry.GoneSince.reset();
    else if (!Entry.GoneSince)
      Entry.GoneSince = Now;
    if (Gone && Now - *Entry.GoneSince > GoneRetention) {
      Next = this->Entries.erase(Next);
      this->recordsChanged();
    } else
      ++Next;
  }
}

const Member &MemberTable::self() const {
  return this->Entries.at(this->SelfName).Record;
}

bool MemberTable::isDisowned() const {
  const Member &Self = this->self();
  return Self.Incarnation != this->SelfIncarnation ||
         Self.State == MemberState::Ended || Self.State == MemberState::Lost;
}

const MemberEntry *MemberTable::find(const std::string &Name) const {
  const auto Found = this->Entries.find(Name);
  return Found == this->Entries.end() ? nullptr : &Found->second;
}

const std::vector<const MemberEntry *> &
MemberTable::countedIn(const std::string &Zone) const {
  if (this->ByZone.empty())
    for (const auto &[Name, Entry] : this->Entries) {
      if (!isCounted(Entry.Record))
        continue;
      this->ByZone[AllZones].push_back(&Entry);
      // The platform's list may have an instance without a zone.
      if (Entry.Record.Zone != AllZones)
        this->ByZone[Entry.Record.Zone].push_back(&Entry);
    }
  static const std::vector<const MemberEntry *> None;
  const auto Found = this->ByZone.find(Zone);
  return Found == this->ByZone.end() ? None : Found->second;
}

std::vector<std::string> MemberTable::zones() const {
  std::vector<std::string> Result;
  this->countedIn(AllZones);
  for (const auto &[Zone, Entries] : this->ByZone)
    if (Zone != AllZones)
      Result.push_back(Zone);
  return Result;
}

bool MemberTable::isLive(const MemberEntry &Entry,
                         Clock::time_point Now) const {
  if (Entry.Record.State != MemberState::Live)
    return false;
  return Entry.Record.Name == this->SelfName ||
         Entry.HeardAt >= Now - SilentAfter;
}

std::vector<std::string> MemberTable::relays(const std::string &Zone,
                                             Clock::time_point Now) const {
  std::vector<std::string> Result;
  std::vector<std::string> Silent;
  for (const MemberEntry *Entry : this->countedIn(Zone)) {
    if (this->isLive(*Entry, Now))
      Result.push_back(Entry->Record.Name);
    else if (Entry->Record.State == MemberState::Live)
      Silent.push_back(Entry->Record.Name);
  }
  Result.insert(Result.end(), Silent.begin(), Silent.end());
  Result.resize(std::min(Result.size(), RelaysPerZone));
  return Result;
}

bool MemberTable::isRelay(Clock::time_point Now) const {
  const auto Relays = this->relays(this->self().Zone, Now);
  return std::find(Relays.begin(), Relays.end(), this->SelfName) !=
         Relays.end();
}

const std::string &MemberTable::zoneDigest(const std::string &Zone) const {
  std::string &Digest = this->Digests[Zone];
  if (Digest.empty()) {
    std::string Text;
    for (const MemberEntry *Entry : this->countedIn(Zone))
      Text += Entry->Record.Name + '\n' +
              std::to_string(Entry->Record.Incarnation) +
              (Entry->Record.State == MemberState::Live ? "\n" : " leaving\n");
    Digest = sha256Hex(Text).substr(0, 32);
  }
  return Digest;
}

} // namespace rr
